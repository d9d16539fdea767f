// Breaks one mechanism at a time in a scratch copy, and expects the test that proves it to fail.
// Usage: npm run prove [-- NAME]
import { execFileSync, spawn } from "node:child_process";
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { mutations } from "./mutations.mjs";

const PARALLEL = 3;
const only = process.argv[2];
const files = execFileSync("git", ["ls-files"], { encoding: "utf8" })
  .trim()
  .split("\n")
  .filter((file) => !file.startsWith("journal/"));
const waiting = mutations.filter((item) => only === undefined || item.name.includes(only));
let survived = 0;

await Promise.all(Array.from({ length: PARALLEL }, () => work()));
console.log(`${survived} of the broken mechanisms were not noticed`);
process.exitCode = survived === 0 ? 0 : 1;

async function work() {
  for (let item = waiting.shift(); item !== undefined; item = waiting.shift()) {
    const folder = mkdtempSync(join(tmpdir(), "gorsefold-prove-"));
    for (const file of files) cpSync(file, join(folder, file));
    symlinkSync(resolve("node_modules"), join(folder, "node_modules"));
    const path = join(folder, item.file);
    const text = readFileSync(path, "utf8");
    if (!text.includes(item.find))
      throw new Error(`${item.name}: ${item.file} does not contain what is to be broken`);
    writeFileSync(path, text.replace(item.find, item.replace));
    const code = await runTest(folder, item);
    if (code === 0) survived += 1;
    console.log(
      `${code === 0 ? "NOT NOTICED" : "noticed"}: ${item.name} (test/${item.test}.spec.ts)`,
    );
    rmSync(folder, { recursive: true, force: true });
  }
}

function runTest(folder, item) {
  const args = [
    "tsx",
    "--test",
    ...(item.pattern === undefined ? [] : ["--test-name-pattern", item.pattern]),
  ];
  const child = spawn("npx", [...args, `test/${item.test}.spec.ts`], {
    cwd: folder,
    stdio: "ignore",
  });
  return new Promise((done) => child.on("exit", done));
}
