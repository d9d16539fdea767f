import js from "@eslint/js";
import tseslint from "typescript-eslint";

/** The folders of `src/forward`, lowest first: each imports only from those before it. */
const FORWARD_FOLDERS = [
  "requests",
  "limits",
  "shared",
  "tunnels",
  "endpoints",
  "calls",
  "engines",
  "generations",
  "callers",
];
/** Pairs that stand beside each other: neither imports the other. */
const FORWARD_SIBLINGS = { engines: ["calls"], generations: ["calls"] };

/** Restricts a folder of `src/forward` to the index files of the folders below it. */
function createFolderRule(folder, place) {
  const notBelow = FORWARD_FOLDERS.slice(place + 1).concat(FORWARD_SIBLINGS[folder] ?? []);
  const patterns = [
    {
      regex: `^\\.\\./(${FORWARD_FOLDERS.join("|")})/`,
      message: "Import from the index of another folder, not from its modules.",
    },
    {
      regex:
        "^\\.\\./(adapter|base|dialing|fleetview|gauges|instance|maintenance|parts|peerstate|settings|status)$",
      message: "The modules beside the folders put them together; no folder imports from them.",
    },
  ];
  if (notBelow.length > 0) {
    patterns.push({
      regex: `^\\.\\./(${notBelow.join("|")})$`,
      message: `${folder}/ imports only from the folders below it.`,
    });
  }
  return {
    files: [`src/forward/${folder}/*.ts`],
    rules: { "no-restricted-imports": ["error", { patterns }] },
  };
}

export default tseslint.config(
  { ignores: ["dist/", "target/", "node_modules/", "src/peer/gen/", "measure/out/"] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  {
    files: ["**/*.mjs"],
    languageOptions: { globals: { process: "readonly", console: "readonly" } },
  },
  {
    files: ["**/*.ts"],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      "@typescript-eslint/no-floating-promises": [
        "error",
        {
          allowForKnownSafeCalls: [
            { from: "package", name: ["test", "it", "describe"], package: "node:test" },
          ],
        },
      ],
      "@typescript-eslint/await-thenable": "error",
      "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
    },
  },
  ...FORWARD_FOLDERS.map(createFolderRule),
);
