// Mutation testing: applies each mutation of scripts/mutations to a scratch copy of the repository, and expects the test
// that covers the mutated mechanism to fail.
// Usage: npm run prove [-- NAME]
import { execFileSync, spawn } from "node:child_process";
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
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

await Promise.all(Array.from({ length: CONCURRENCY }, () => runMutations()));
console.log(`${survivors} of the broken mechanisms were not noticed`);
process.exitCode = survivors === 0 ? 0 : 1;

async function runMutations() {
  for (let mutation = pending.shift(); mutation !== undefined; mutation = pending.shift()) {
    const directory = mkdtempSync(join(tmpdir(), "gorsefold-prove-"));
    for (const file of trackedFiles) cpSync(file, join(directory, file));
    symlinkSync(resolve("node_modules"), join(directory, "node_modules"));
    const path = join(directory, mutation.file);
    const source = readFileSync(path, "utf8");
    if (!source.includes(mutation.find))
      throw new Error(`${mutation.name}: ${mutation.file} does not contain the text to replace`);
    writeFileSync(path, source.replace(mutation.find, mutation.replace));
    const exitCode = await runTest(directory, mutation);
    if (exitCode === 0) survivors += 1;
    console.log(
      `${exitCode === 0 ? "NOT NOTICED" : "noticed"}: ${mutation.name} (test/${mutation.test}.spec.ts)`,
    );
    rmSync(directory, { recursive: true, force: true });
  }
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
