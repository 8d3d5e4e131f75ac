"""Plays of turning demand on the emulated platform, with mechanisms switched off."""
