"""Ablation runs with bursty load on the emulated platform."""
