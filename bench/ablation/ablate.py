#!/usr/bin/env python3
"""Plays days with one decision mechanism switched off at a time.

Usage: ablate.py BENCH SITE... [--days NAME,...] [--seeds N] [--jobs N]
                 [--only PATCH,...] [--report FILE]

BENCH is the program that builds a tree and plays a day of a deployment file
SITE. Each *.patch beside this script switches one mechanism off in a copy of
HEAD. The same days and seeds are played with and without it, without the price
of processor time, which makes plays repeatable. Prints the mean worth of each
site without the patch, the change with it, and the standard error of the
change over days and seeds.

The journal entries of all plays are copied to journal/.
"""
import argparse
import collections
import concurrent.futures
import json
import math
import os
import re
import shutil
import subprocess
import sys
import tempfile

BASELINE = "baseline"
HERE = os.path.dirname(os.path.abspath(__file__))
WHY = "trial: ablation"

Play = collections.namedtuple("Play", "patch site day seed")


def parse_arguments():
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--days", default="trouble-1,scale-1")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", help="names of patches")
    parser.add_argument("--report", help="JSON file for the worth of each play")
    arguments = parser.parse_args()
    for path in [arguments.bench] + arguments.sites:
        if not os.path.exists(path):
            sys.exit(f"{path}: no such file")
    return arguments


def find_patches(only):
    names = sorted(name[: -len(".patch")] for name in os.listdir(HERE)
                   if name.endswith(".patch"))
    if not only:
        return names
    unknown = set(only.split(",")) - set(names)
    if unknown:
        sys.exit(f"no such patch: {', '.join(sorted(unknown))}")
    return only.split(",")


def build_tree(top, scratch, bench, patch):
    tree = os.path.join(scratch, patch)
    subprocess.run(["git", "worktree", "add", "--quiet", "--detach", tree,
                    "HEAD"], cwd=top, check=True)
    if patch != BASELINE:
        subprocess.run(["git", "apply", os.path.join(HERE, patch + ".patch")],
                       cwd=tree, check=True)
    subprocess.run([bench, "build"], cwd=tree, check=True,
                   stdout=subprocess.DEVNULL)
    return tree


def play_day(bench, tree, play, report):
    """Returns the report of the bench, or None if it has written none."""
    subprocess.run([bench, "run", play.site, play.day, "--seed",
                    str(play.seed), "--jobs", "1", "--no-cpu", "--report",
                    report, "--why", f"{WHY}, {play.patch}"], cwd=tree,
                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    if not os.path.exists(report):
        return None
    with open(report, encoding="utf-8") as file:
        return json.load(file)


def mean_and_error(values):
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, math.nan
    variance = sum((v - mean) ** 2 for v in values) / (len(values) - 1)
    return mean, math.sqrt(variance / len(values))


def print_table(patches, sites, worth):
    for site in sites + [None]:
        base = {(p.site, p.day, p.seed): w for p, w in worth.items()
                if p.patch == BASELINE and site in (None, p.site)}
        if not base:
            continue
        name = "all" if site is None else os.path.basename(site)
        print(f"{re.sub('[.]toml$', '', name)}: "
              f"{mean_and_error(list(base.values()))[0]:.3f} with all of them")
        for patch in patches:
            changes = [worth[Play(patch, *key)] - base[key] for key in base
                       if Play(patch, *key) in worth]
            if changes:
                mean, error = mean_and_error(changes)
                print(f"  {patch:20} {mean:+.4f}  s.e. {error:.4f}")


def keep_journal(top, tree):
    for folder, _, files in os.walk(os.path.join(tree, "journal")):
        target = os.path.join(top, os.path.relpath(folder, tree))
        os.makedirs(target, exist_ok=True)
        for file in files:
            if not os.path.exists(os.path.join(target, file)):
                shutil.copy2(os.path.join(folder, file), target)


def play_all(arguments, top, scratch, patches, trees):
    sites = [os.path.abspath(site) for site in arguments.sites]
    bench = os.path.abspath(arguments.bench)
    for patch in [BASELINE] + patches:
        trees[patch] = build_tree(top, scratch, bench, patch)
    plays = [Play(patch, site, day, arguments.first_seed + n)
             for site in sites for day in arguments.days.split(",")
             for n in range(arguments.seeds) for patch in trees]
    worth = {}
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as executor:
        running = {
            executor.submit(play_day, bench, trees[play.patch], play,
                            os.path.join(scratch, f"report-{n}")): play
            for n, play in enumerate(plays)}
        for future in concurrent.futures.as_completed(running):
            play, report = running[future], future.result()
            if report is None:
                print(f"no report: {play}", flush=True)
                continue
            worth[play] = report["G"]
            if report["breaks"] or report["fault"]:
                print(f"rule broken: {play}: {list(report['breaks'])} "
                      f"{report['fault'] or ''}", flush=True)
    print_table(patches, sites, worth)
    if arguments.report:
        with open(arguments.report, "w", encoding="utf-8") as file:
            json.dump([[*play, value] for play, value in worth.items()], file)


def main():
    arguments = parse_arguments()
    top = subprocess.run(["git", "rev-parse", "--show-toplevel"], cwd=HERE,
                         check=True, stdout=subprocess.PIPE,
                         text=True).stdout.strip()
    scratch = tempfile.mkdtemp(prefix="ablate.")
    trees = {}
    try:
        play_all(arguments, top, scratch, find_patches(arguments.only), trees)
    finally:
        for tree in trees.values():
            keep_journal(top, tree)
            subprocess.run(["git", "worktree", "remove", "--force", tree],
                           cwd=top, check=False)
        shutil.rmtree(scratch, ignore_errors=True)


if __name__ == "__main__":
    main()
