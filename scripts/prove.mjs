// Mutation testing: applies each mutation of scripts/mutations to a scratch copy of the repository, and expects the test
// that covers the mutated mechanism to fail. An entry whose text is missing from its source is a failure too.
// Usage: npm run prove [-- NAME]
import { execFileSync, spawn } from "node:child_process";
import {
  cpSync,
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { mutations } from "./mutations/index.mjs";

const CONCURRENCY = 3;
const nameFilter = process.argv[2];
const trackedFiles = execFileSync("git", ["ls-files"], { encoding: "utf8" })
  .trim()
  .split("\n")
  .filter((file) => !file.startsWith("journal/"));
const pending = mutations.filter(
  (mutation) => nameFilter === undefined || mutation.name.includes(nameFilter),
);
let survivors = 0;
let outdated = 0;

await Promise.all(Array.from({ length: CONCURRENCY }, () => runMutations()));
console.log(`${survivors} of the broken mechanisms were not noticed`);
if (outdated > 0) console.log(`${outdated} entries were not run, as their text is missing`);
process.exitCode = survivors + outdated === 0 ? 0 : 1;

async function runMutations() {
  for (let mutation = pending.shift(); mutation !== undefined; mutation = pending.shift()) {
    if (containsText(mutation)) await runMutation(mutation);
    else reportOutdated(mutation);
  }
}

/** Checks whether the source still contains the text that a mutation replaces. */
function containsText({ file, find }) {
  return existsSync(file) && readFileSync(file, "utf8").includes(find);
}

function reportOutdated({ name, file }) {
  outdated += 1;
  console.log(`TEXT MISSING: ${name} (${file})`);
}

async function runMutation(mutation) {
  const directory = mkdtempSync(join(tmpdir(), "gorsefold-prove-"));
  for (const file of trackedFiles) cpSync(file, join(directory, file));
  symlinkSync(resolve("node_modules"), join(directory, "node_modules"));
  const path = join(directory, mutation.file);
  writeFileSync(path, readFileSync(path, "utf8").replace(mutation.find, mutation.replace));
  const exitCode = await runTest(directory, mutation);
  if (exitCode === 0) survivors += 1;
  console.log(
    `${exitCode === 0 ? "NOT NOTICED" : "noticed"}: ${mutation.name} (test/${mutation.test}.spec.ts)`,
  );
  rmSync(directory, { recursive: true, force: true });
}

function runTest(directory, mutation) {
  const args = [
    "tsx",
    "--test",
    ...(mutation.pattern === undefined ? [] : ["--test-name-pattern", mutation.pattern]),
  ];
  const testProcess = spawn("npx", [...args, `test/${mutation.test}.spec.ts`], {
    cwd: directory,
    stdio: "ignore",
  });
  return new Promise((resolveExit) => testProcess.on("exit", resolveExit));
}
