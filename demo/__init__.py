"""Runs a small complete system on one machine; started by `script/demo`."""
