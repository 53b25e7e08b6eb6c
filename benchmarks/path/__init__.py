"""Figures of real processes over loopback."""
