"""Starts the platform's daemon from the built tree."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "target" / "app"))

from medlarspring_platform.launcher import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
