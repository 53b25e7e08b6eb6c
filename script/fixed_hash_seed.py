"""Runs a Python script in the project's environment with a fixed hash seed."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PYTHON = ROOT / ".venv" / "bin" / "python"
HASH_SEED = "0"


def ensure(script: str) -> None:
    """Set up the environment and run the script again in it, unless it runs in it.

    The core iterates over maps in the order of string hashes, so a seed gives the same
    run only with a fixed hash seed.

    Args:
        script: Path of the script that calls this, its `__file__`.
    """
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        subprocess.run([ROOT / "script" / "setup"], check=True)
        os.environ["PYTHONHASHSEED"] = HASH_SEED
        os.execv(PYTHON, [str(PYTHON), script, *sys.argv[1:]])
    sys.path.insert(0, str(ROOT))
