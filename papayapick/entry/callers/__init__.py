"""Answers to callers."""
