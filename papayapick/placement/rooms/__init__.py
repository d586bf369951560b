"""Decide which worker runs a task.

The free capacity of the workers is indexed, and the best of the workers with room for a
task is chosen. Workers of unlike speed are considered in the order that suits the step,
and some room is kept free for urgent steps.
"""
