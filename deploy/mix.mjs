// Generates the simulated days with faults and planned operations. deploy/days/kind-*.toml hold two days for each
// kind, in which it occurs early and late, alone and together with a network cut or a store outage.
// deploy/days/mix-*.toml cover all pairs of kinds: each pair occurs within the same seconds of some day. The variants
// of a kind are used in rotation. Run it again after a change: node deploy/mix.mjs
import { readdirSync, rmSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const DAYS_DIRECTORY = join(dirname(fileURLToPath(import.meta.url)), "days");
const DAY_LENGTH_S = 36;
/** Number of kinds that occur within the same seconds of a mixed day. */
const KINDS_PER_MIX = 5;
/** Start times of a kind in its own days, in seconds, and how much earlier its companion starts. */
const EARLY_S = 3;
const LATE_S = 24;
const COMPANION_LEAD_S = 1.5;
/** Start times of the kinds of a mixed day, in seconds; they are shifted by 0, 6, 12 or 18 s, in rotation by day. */
const MIX_START_TIMES_S = [5, 6.5, 8, 9.5, 11];

/** The kinds with their variants in the syntax of a day file; planned operations are marked, the others are faults. */
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

/**
 * Kinds that were added later. Their days are generated after those of the others, so that existing days stay the
 * same.
 */
const ADDED_KINDS = [{ kind: "big_config", isPlanned: true, variants: ["count = 350"] }];
const ALL_KINDS = [...KINDS, ...ADDED_KINDS];

const COMPANIONS = [
  'kind = "zone_cut", zone = "@z0", for_s = 5.0',
  'kind = "platform_down", for_s = 5.0, how = "silent"',
];

const useCounts = new Map();

/** Formats an entry of a day file with the next variant of its kind, in rotation. */
function formatEntry(definition, atS) {
  const useCount = useCounts.get(definition.kind) ?? 0;
  useCounts.set(definition.kind, useCount + 1);
  const variant = definition.variants[useCount % definition.variants.length];
  const options = variant === "" ? "" : `, ${variant}`;
  return {
    isPlanned: definition.isPlanned === true,
    line: `{ at = ${atS.toFixed(1)}, kind = "${definition.kind}"${options} }`,
  };
}

function formatList(name, entries) {
  if (entries.length === 0) return "";
  return `${name} = [\n${entries.map(({ line }) => `  ${line},\n`).join("")}]\n`;
}

function writeDay(name, comment, entries) {
  const header = `# ${comment}\nname = "${name}"\nslot = "trouble"\nlength_s = ${DAY_LENGTH_S.toFixed(1)}\n`;
  const plannedEntries = entries.filter((entry) => entry.isPlanned);
  const faultEntries = entries.filter((entry) => !entry.isPlanned);
  writeFileSync(
    join(DAYS_DIRECTORY, `${name}.toml`),
    header + formatList("plan", plannedEntries) + formatList("faults", faultEntries),
  );
}

/** Writes the day in which a kind occurs early by itself and late beside a companion. */
function writeEarlyDay(definition, index) {
  writeDay(createDayName(definition), `${definition.kind}: early by itself, late beside another.`, [
    formatEntry(definition, EARLY_S),
    formatEntry(definition, LATE_S),
    formatCompanion(index, LATE_S - COMPANION_LEAD_S),
  ]);
}

/** Writes the day in which a kind occurs early beside the other companion and late by itself. */
function writeLateDay(definition, index) {
  writeDay(
    `${createDayName(definition)}-late`,
    `${definition.kind}: early beside another, late by itself.`,
    [
      formatEntry(definition, EARLY_S),
      formatEntry(definition, LATE_S),
      formatCompanion(index + 1, EARLY_S - COMPANION_LEAD_S),
    ],
  );
}

function createDayName({ kind }) {
  return `kind-${kind.replaceAll("_", "-")}`;
}

function formatCompanion(index, atS) {
  const companion = COMPANIONS[index % COMPANIONS.length];
  return { isPlanned: false, line: `{ at = ${atS.toFixed(1)}, ${companion} }` };
}

function createPairKey(a, b) {
  return [a, b].sort((x, y) => x - y).join(" ");
}

/** Lists the pairs of the first `count` kinds whose second kind has index `from` or higher. */
function listPairs(from, count) {
  const pairs = [];
  for (let a = 0; a < count; a += 1) {
    for (let b = Math.max(a + 1, from); b < count; b += 1) pairs.push(createPairKey(a, b));
  }
  return pairs;
}

/** Chooses sets of the first `count` kinds greedily, so that together they cover all pairs. */
function chooseMixes(pairs, count) {
  const uncovered = new Set(pairs);
  const mixes = [];
  while (uncovered.size > 0) {
    const [first] = uncovered;
    const mix = first.split(" ").map(Number);
    while (mix.length < KINDS_PER_MIX) mix.push(chooseNextKind(mix, uncovered, count));
    for (const a of mix) for (const b of mix) uncovered.delete(createPairKey(a, b));
    mixes.push(mix);
  }
  return mixes;
}

function chooseNextKind(mix, uncovered, count) {
  const scores = Array.from({ length: count }, (_, index) =>
    mix.includes(index)
      ? -1
      : mix.filter((other) => uncovered.has(createPairKey(index, other))).length,
  );
  return scores.indexOf(Math.max(...scores));
}

function writeMixDay(mix, index) {
  const shiftS = (index % 4) * 6;
  const entries = mix.map((kind, position) =>
    formatEntry(ALL_KINDS[kind], MIX_START_TIMES_S[position] + shiftS),
  );
  const names = mix.map((kind) => ALL_KINDS[kind].kind).join(", ");
  writeDay(
    `mix-${String(index + 1).padStart(2, "0")}`,
    `Within the same seconds: ${names}.`,
    entries,
  );
}

for (const file of readdirSync(DAYS_DIRECTORY)) {
  if (/^(kind|mix)-/.test(file)) rmSync(join(DAYS_DIRECTORY, file));
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
