"""The caller port: request admission, forwarding, responses and upstream slots."""

from __future__ import annotations
