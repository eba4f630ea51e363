"""Steer traffic across regions, driven by a catalogue."""
