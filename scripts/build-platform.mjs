// Builds target/instance.js: the instance that the platform runs, without the operators' commands. It loads
// target/router.js with target/router.cache, which a trained process has written.
import { build } from "esbuild";
import { rmSync, statSync } from "node:fs";

rmSync("target/router.cache", { force: true });
await build({
  entryPoints: {
    instance: "platform/start.ts",
    router: "platform/main.ts",
    trainee: "platform/trainee.ts",
  },
  bundle: true,
  minify: false,
  sourcemap: false,
  platform: "node",
  target: "node20",
  format: "cjs",
  charset: "ascii",
  outdir: "target",
  logLevel: "warning",
});
try {
  const { trainRouter } = await import("../platform/training/train.mjs");
  await trainRouter();
  console.log(`target/router.cache: ${(statSync("target/router.cache").size / 1e6).toFixed(1)} MB`);
} catch (error) {
  rmSync("target/router.cache", { force: true });
  console.log(`no code cache: ${error.message}`);
}
