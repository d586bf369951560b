"""Decide where and when jobs, tasks and service calls run."""
