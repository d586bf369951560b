"""Decide what to do about runs that make too little progress, and about their workers.

Stalled and slow runs are detected, and workers that are slow or fail their tasks are
distinguished from tasks that are at fault themselves. Stragglers get speculative
copies, fillers are throttled, and a worker on which a task failed is allowed for it
again if no other has room.
"""
