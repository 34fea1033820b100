#!/usr/bin/env python3
"""Puts a variant of a site together: assemble.py SITE.toml VARIANT.toml FOLDER

SITE.toml is a site as users gave it, VARIANT.toml says only what differs. FOLDER, which is made, gets the whole site
under the variant's name and the files that stand beside the given one. A path that the site lacks ends it with one line.
"""

import json
import pathlib
import shutil
import sys
import tomllib

# What the site may leave out, as the bench has a value of its own for it.
OPTIONAL = {"stock", "window_ms"}


def end(text):
    sys.exit(f"assemble: {text}")


def load(path):
    try:
        return tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as why:
        end(f"{path}: {why}")


def take_over(site, variant, path=""):
    """Sets in `site` what `variant` says; a list of tables is reached by number."""
    for key, value in variant.items():
        here = f"{path}{key}"
        at = int(key) if isinstance(site, list) and key.isdigit() else key
        known = at < len(site) if isinstance(at, int) and isinstance(site, list) else key in site
        if not known and key not in OPTIONAL:
            end(f"the site has no key `{here}`")
        if isinstance(value, dict):
            take_over(site[at], value, here + ".")
        else:
            site[at] = value


def text(table, path=""):
    """TOML of a table: its plain values, then its tables, then its lists of tables."""
    is_tables = lambda v: isinstance(v, list) and v and isinstance(v[0], dict)
    lines = [f"{k} = {json.dumps(v)}" for k, v in table.items() if not isinstance(v, dict) and not is_tables(v)]
    for key, value in table.items():
        if isinstance(value, dict):
            lines += ["", f"[{path}{key}]"] + text(value, f"{path}{key}.")
        elif is_tables(value):
            for one in value:
                lines += ["", f"[[{path}{key}]]"] + text(one, f"{path}{key}.")
    return lines


def main():
    if len(sys.argv) != 4:
        end("usage: assemble.py SITE.toml VARIANT.toml FOLDER")
    given, variant, folder = (pathlib.Path(arg) for arg in sys.argv[1:])
    site, changes = load(given), load(variant)
    take_over(site, changes)
    folder.mkdir(parents=True, exist_ok=True)
    for beside in ("real.json", "wire.json", "design.json", "unlock.txt"):
        if (given.parent / beside).exists():
            shutil.copyfile(given.parent / beside, folder / beside)
    out = folder / f"{changes['name']}.toml"
    out.write_text("\n".join(text(site)) + "\n")
    print(out)


main()
