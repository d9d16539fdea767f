// Builds target/instance.js: the instance that the platform runs, without the operators' commands.
import { build } from "esbuild";

await build({
  entryPoints: { instance: "platform/main.ts" },
  bundle: true,
  minify: false,
  sourcemap: false,
  platform: "node",
  target: "node20",
  format: "cjs",
  outdir: "target",
  logLevel: "warning",
});
