"""Decide which room is released for other work, and for whom it is held.

Less urgent tasks are preempted for urgent steps, room that becomes free is held for
large tasks and gangs, and machines are drained for their upkeep in waves.
"""
