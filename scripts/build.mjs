// Builds dist/gorsefold: bundles the router into one CommonJS file with esbuild, and injects it into a copy of the
// node binary as a single executable application (SEA).
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, rmSync, statSync, writeFileSync } from "node:fs";
import { build } from "esbuild";
import { inject } from "postject";
import { readFileSync } from "node:fs";

const SEA_SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

rmSync("dist", { recursive: true, force: true });
mkdirSync("dist");
await build({
  entryPoints: { main: "src/main.ts", index: "src/index.ts" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  outdir: "dist",
  external: ["unix-dgram"],
  logLevel: "warning",
});
const seaConfig = {
  main: "dist/main.js",
  output: "dist/main.blob",
  disableExperimentalSEAWarning: true,
};
writeFileSync("dist/sea.json", JSON.stringify(seaConfig));
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], {
  stdio: "ignore",
});
copyFileSync(process.execPath, "dist/gorsefold");
chmodSync("dist/gorsefold", 0o755);
await inject("dist/gorsefold", "NODE_SEA_BLOB", readFileSync("dist/main.blob"), {
  sentinelFuse: SEA_SENTINEL_FUSE,
});
rmSync("dist/sea.json");
rmSync("dist/main.blob");
console.log(`dist/gorsefold: ${(statSync("dist/gorsefold").size / 1e6).toFixed(0)} MB`);
