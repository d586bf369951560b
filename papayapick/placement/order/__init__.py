"""Decide which waiting step is served next, and whether a queue takes more jobs.

Steps are classified by whether their jobs can still be completed in time, and kept in
the order of service. Advice is requested for the first of them only, and a queue whose
backlog takes too long to start rejects new jobs.
"""
