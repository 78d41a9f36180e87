#!/usr/bin/env python3
"""Prints the scored rounds in the journal, and the days of the last round of each site, as Markdown tables.

Usage: tools/rounds.py [JOURNAL_DIR] > docs/worth.md
"""
import glob
import json
import os
import sys


def scored_entries(folder):
    """Returns the journal entries of scored rounds that ran to the end, oldest first."""
    entries = []
    for path in sorted(glob.glob(os.path.join(folder, "*.json"))):
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        if entry.get("cmd") == "score" and entry.get("ok") and entry.get("score") is not None:
            entries.append(entry)
    return entries


def is_standard_day(day):
    return not day["name"].startswith("fresh")


def rounds_table(site, entries):
    names = [day["name"] for day in entries[-1]["days"] if is_standard_day(day)]
    print(f"## Rounds on {site}\n")
    print("| at | score | " + " | ".join(names) + " | broken | tried |")
    print("| --- | --- |" + " --- |" * (len(names) + 2))
    for entry in entries:
        worth = {day["name"]: f"{day['G']:.3f}" for day in entry["days"]}
        broken = sorted({rule for day in entry["days"] for rule in day["rules"]})
        purpose = entry["why"].split(":")[0].replace("|", "/")
        cells = [worth.get(name, "") for name in names]
        print(f"| {entry['at'][0][11:16]} | {entry['score']:.3f} | " + " | ".join(cells) +
              f" | {', '.join(broken) or 'none'} | {purpose} |")
    print()


def days_table(site, entry):
    print(f"## Days of the last round on {site} (journal {entry['id']})\n")
    print("| day | worth | mark `one` | score | gate | broken | served | largest prices | processor time a router | "
          "memory a router |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for day in entry["days"]:
        prices = {name: (amount, price) for name, amount, price in day["prices"]}
        largest = sorted(day["prices"], key=lambda price: -price[2])[:3]
        seconds = prices["machine-seconds"][0]
        core = prices["processor seconds"][0] / seconds
        memory = prices["memory, GB x seconds"][0] / seconds * 1000
        print(f"| {day['name']} | {day['G']:.3f} | {day['top'] if day['top'] else ''} | {day['score']:.2f} | "
              f"{'passed' if day['gate'] else 'failed'} | {', '.join(day['rules']) or 'none'} | {day['served']:.3f} | "
              + "; ".join(f"{name} {price:.3f}" for name, _, price in largest) +
              f" | {core:.4f} of a core | {memory:.1f} MB |")
    print()


def main():
    folder = sys.argv[1] if len(sys.argv) > 1 else "journal"
    by_site = {}
    for entry in scored_entries(folder):
        by_site.setdefault(entry["site"], []).append(entry)
    print("# Worth by round and day\n")
    print("Made by `tools/rounds.py` from `journal/`. A change under 0.03 of a score is noise. Times are UTC.\n")
    for site, entries in sorted(by_site.items()):
        rounds_table(site, entries)
        days_table(site, entries[-1])


if __name__ == "__main__":
    main()
