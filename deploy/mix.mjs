// Writes deploy/days/kind-*.toml (each kind of trouble by itself, early and late, twice, beside a cut
// and a store that is away) and deploy/days/mix-*.toml (every two kinds within the same seconds of some day).
// The variants of a kind take turns. Run it again after a change: node deploy/mix.mjs
import { readdirSync, rmSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const DAYS = join(dirname(fileURLToPath(import.meta.url)), "days");
const LENGTH_S = 36;
/** Kinds that meet within the same seconds of a mixed day. */
const KINDS_A_DAY = 5;
/** When a kind comes in its own days, in seconds, and how much sooner what stands beside it. */
const EARLY_S = 3;
const LATE_S = 24;
const COMPANION_LEAD_S = 1.5;
/** Moments at which the troubles of a mixed day begin, in seconds; each day shifts them. */
const STARTS_S = [5, 6.5, 8, 9.5, 11];

/** Each kind with its variants, written as a day file has them; planned work is marked. */
const KINDS = [
  { kind: "burst", variants: ["x = 1.6, for_s = 5.0"] },
  { kind: "hot_tenant", variants: ["x = 5.0, for_s = 6.0"] },
  { kind: "retry_abuse", variants: ["share = 0.3, x = 3, for_s = 6.0"] },
  {
    kind: "give_up",
    variants: ["share = 0.3, for_s = 6.0", 'share = 0.3, for_s = 6.0, how = "once"'],
  },
  {
    kind: "srv_crash",
    variants: ["for_s = 5.0", 'for_s = 5.0, how = "dark"', 'share = 0.15, how = "gone"'],
  },
  {
    kind: "srv_grey",
    variants: ["errors", "shed", "busy", "hang", "reset", "mute", "slow"].map(
      (how) => `share = 0.25, for_s = 6.0, how = "${how}"`,
    ),
  },
  { kind: "release", isPlanned: true, variants: ["share = 0.5, x = 1, gap_s = 1.5"] },
  {
    kind: "scale_in",
    isPlanned: true,
    variants: ["share = 0.15", 'share = 0.15, how = "spot", x = 2.0'],
  },
  { kind: "answer_lost", variants: ["share = 0.5, x = 0.05, for_s = 6.0"] },
  {
    kind: "garble",
    variants: [
      "share = 0.5, x = 0.04, for_s = 6.0",
      'share = 0.5, x = 0.04, for_s = 6.0, how = "extra"',
      'share = 0.5, x = 0.04, for_s = 6.0, how = "unframed"',
      'share = 0.5, x = 0.04, for_s = 6.0, how = "early"',
    ],
  },
  { kind: "node_kill", variants: ["share = 0.25", 'share = 0.25, for_s = 3.0, how = "power"'] },
  {
    kind: "node_freeze",
    variants: ["share = 0.25, for_s = 3.0", 'share = 0.25, for_s = 4.0, how = "renewed"'],
  },
  { kind: "node_slow", variants: ["share = 0.25, x = 5.0, for_s = 6.0"] },
  {
    kind: "roll_term",
    isPlanned: true,
    variants: ["x = 1, gap_s = 1.0", 'x = 2, gap_s = 2.0, how = "busy"'],
  },
  { kind: "herd_kill", variants: ["share = 0.6", 'share = 0.6, for_s = 1.5, how = "power"'] },
  { kind: "add_nodes", isPlanned: true, variants: [""] },
  { kind: "replace_core", isPlanned: true, variants: ["x = 1.0", 'how = "planned"'] },
  { kind: "after_ack_kill", variants: ["count = 1", 'count = 2, how = "timed"'] },
  {
    kind: "clock_step",
    variants: ["x = 5000.0, for_s = 6.0", 'x = 5000.0, for_s = 6.0, how = "back"'],
  },
  { kind: "reset_conns", variants: ["share = 0.5, x = 0.8"] },
  { kind: "zone_cut", variants: ['zone = "@z0", for_s = 5.0'] },
  {
    kind: "core_cut",
    variants: ["all", "near", "one_way", "split"].map(
      (how) => `count = 1, for_s = 5.0, how = "${how}"`,
    ),
  },
  {
    kind: "node_cut",
    variants: ["all", "servers"].map((how) => `share = 0.25, for_s = 5.0, how = "${how}"`),
  },
  { kind: "lossy", variants: ['zone = "@z0", x = 0.05, for_s = 6.0'] },
  {
    kind: "platform_down",
    variants: [
      "silent",
      "busy",
      "reset",
      "silent lapse",
      "nodes",
      "nodes many",
      "nodes revoke",
    ].map((how) => `for_s = 5.0, how = "${how}"`),
  },
  { kind: "platform_slow", variants: ["x = 50.0, for_s = 6.0"] },
  {
    kind: "platform_lost",
    variants: ["x = 0.3, for_s = 6.0", 'x = 0.3, for_s = 6.0, how = "late"'],
  },
  {
    kind: "platform_compact",
    variants: ["x = 3.0", 'x = 3.0, how = "drain"', 'how = "rebalance"', 'x = 3.0, how = "rewind"'],
  },
  {
    kind: "config_change",
    isPlanned: true,
    variants: ["route", "weights", "timeout", "tenant", "quota", "quota down", "idle"].map(
      (how) => `how = "${how}"`,
    ),
  },
  { kind: "config_storm", isPlanned: true, variants: ["for_s = 4.0, gap_s = 0.4"] },
  {
    kind: "revoke",
    isPlanned: true,
    variants: ["count = 3, gap_s = 0.7", 'count = 2, how = "last"'],
  },
  {
    kind: "applied_late",
    variants: ["orders", "grants", "all"].map((how) => `x = 0.5, for_s = 6.0, how = "${how}"`),
  },
  { kind: "kv_slow", variants: ["x = 8.0, for_s = 6.0"] },
  { kind: "handle_short", variants: ["for_s = 5.0"] },
  { kind: "srv_slow", variants: ["share = 0.25, x = 4.0, for_s = 6.0"] },
  {
    kind: "srv_cut",
    variants: ["fronts", "some", "one_way", "reset", "reborn"].map(
      (how) => `share = 0.2, for_s = 5.0, how = "${how}"`,
    ),
  },
  {
    kind: "replace_with_reuse",
    variants: ["share = 0.2", 'share = 0.2, how = "drain"', 'share = 0.2, how = "dark"'],
  },
  { kind: "scale_out", isPlanned: true, variants: ["share = 0.3, gap_s = 2.0"] },
  { kind: "hup", isPlanned: true, variants: ["share = 0.5, gap_s = 1.0"] },
];

/** Kinds that came later: their days follow those of the others, which stay as they were played. */
const ADDED_KINDS = [{ kind: "big_config", isPlanned: true, variants: ["count = 350"] }];
const ALL_KINDS = [...KINDS, ...ADDED_KINDS];

const COMPANIONS = [
  'kind = "zone_cut", zone = "@z0", for_s = 5.0',
  'kind = "platform_down", for_s = 5.0, how = "silent"',
];

const turns = new Map();

/** Writes one entry; a kind's variants take turns. */
function writeEntry(item, atS) {
  const turn = turns.get(item.kind) ?? 0;
  turns.set(item.kind, turn + 1);
  const variant = item.variants[turn % item.variants.length];
  const rest = variant === "" ? "" : `, ${variant}`;
  return {
    isPlanned: item.isPlanned === true,
    line: `{ at = ${atS.toFixed(1)}, kind = "${item.kind}"${rest} }`,
  };
}

function writeList(name, entries) {
  if (entries.length === 0) return "";
  return `${name} = [\n${entries.map(({ line }) => `  ${line},\n`).join("")}]\n`;
}

function writeDay(name, comment, entries) {
  const head = `# ${comment}\nname = "${name}"\nslot = "trouble"\nlength_s = ${LENGTH_S.toFixed(1)}\n`;
  const plan = entries.filter((entry) => entry.isPlanned);
  const faults = entries.filter((entry) => !entry.isPlanned);
  writeFileSync(
    join(DAYS, `${name}.toml`),
    head + writeList("plan", plan) + writeList("faults", faults),
  );
}

/** Early by itself, and late beside a companion. */
function writeEarlyDay(item, index) {
  writeDay(nameDay(item), `${item.kind}: early by itself, late beside another.`, [
    writeEntry(item, EARLY_S),
    writeEntry(item, LATE_S),
    writeCompanion(index, LATE_S - COMPANION_LEAD_S),
  ]);
}

/** Early beside the other companion, and late by itself. */
function writeLateDay(item, index) {
  writeDay(`${nameDay(item)}-late`, `${item.kind}: early beside another, late by itself.`, [
    writeEntry(item, EARLY_S),
    writeEntry(item, LATE_S),
    writeCompanion(index + 1, EARLY_S - COMPANION_LEAD_S),
  ]);
}

function nameDay({ kind }) {
  return `kind-${kind.replaceAll("_", "-")}`;
}

function writeCompanion(index, atS) {
  const companion = COMPANIONS[index % COMPANIONS.length];
  return { isPlanned: false, line: `{ at = ${atS.toFixed(1)}, ${companion} }` };
}

function nameTwo(a, b) {
  return [a, b].sort((x, y) => x - y).join(" ");
}

/** Lists every two of the first `count` kinds of which the second is at least the `from`-th. */
function listPairs(from, count) {
  const pairs = [];
  for (let a = 0; a < count; a += 1) {
    for (let b = Math.max(a + 1, from); b < count; b += 1) pairs.push(nameTwo(a, b));
  }
  return pairs;
}

/** Sets of the first `count` kinds that between them hold all pairs, chosen greedily. */
function chooseMixes(pairs, count) {
  const missing = new Set(pairs);
  const mixes = [];
  while (missing.size > 0) {
    const [first] = missing;
    const mix = first.split(" ").map(Number);
    while (mix.length < KINDS_A_DAY) mix.push(chooseNext(mix, missing, count));
    for (const a of mix) for (const b of mix) missing.delete(nameTwo(a, b));
    mixes.push(mix);
  }
  return mixes;
}

function chooseNext(mix, missing, count) {
  const scores = Array.from({ length: count }, (_, index) =>
    mix.includes(index) ? -1 : mix.filter((other) => missing.has(nameTwo(index, other))).length,
  );
  return scores.indexOf(Math.max(...scores));
}

function writeMixDay(mix, index) {
  const shiftS = (index % 4) * 6;
  const entries = mix.map((kind, place) => writeEntry(ALL_KINDS[kind], STARTS_S[place] + shiftS));
  const names = mix.map((kind) => ALL_KINDS[kind].kind).join(", ");
  writeDay(
    `mix-${String(index + 1).padStart(2, "0")}`,
    `Within the same seconds: ${names}.`,
    entries,
  );
}

for (const file of readdirSync(DAYS)) {
  if (/^(kind|mix)-/.test(file)) rmSync(join(DAYS, file));
}
KINDS.forEach(writeEarlyDay);
const mixes = [
  ...chooseMixes(listPairs(0, KINDS.length), KINDS.length),
  ...chooseMixes(listPairs(KINDS.length, ALL_KINDS.length), ALL_KINDS.length),
];
mixes.forEach(writeMixDay);
ADDED_KINDS.forEach(writeEarlyDay);
ALL_KINDS.forEach(writeLateDay);
console.log(`${ALL_KINDS.length} kinds, ${mixes.length} mixes`);
