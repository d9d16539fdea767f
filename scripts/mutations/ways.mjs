// Mutations of silence, of connections over peers, and of what a request is decided by.

export const wayMutations = [
  {
    name: "silence: a run is given up only with another engine at hand",
    file: "src/forward/replacement.ts",
    find: "if (reservation === undefined) return false;",
    replace: "if (reservation === undefined) return true;",
    test: "silence",
    pattern: "another version|no other engine has room",
  },
  {
    name: "silence: a run whose engine stays silent is given up",
    file: "src/forward/silence.ts",
    find: "if (isFound) this.replaced.abort();",
    replace: "if (isFound) this.restartTimer(SEARCH_PAUSE_MS);",
    test: "silence",
    pattern: "goes on at another engine",
  },
  {
    name: "silence: a plain request stays with its endpoint if no retry is left",
    file: "src/forward/service.ts",
    find: "return this.replacement !== undefined;",
    replace: "return true;",
    test: "silentservice",
    pattern: "no retry is left in the budget",
  },
  {
    name: "standstill: sockets are read before silence counts",
    file: "src/core/readfirst.ts",
    find: "this.immediate = setImmediate(onExpired);",
    replace: "onExpired();",
    test: "standstill",
  },
  {
    name: "ways: a crash needs two witnesses",
    file: "src/forward/dialrun.ts",
    find: "const MIN_REFUSALS = 2;",
    replace: "const MIN_REFUSALS = 1;",
    test: "dialer",
  },
  {
    name: "ways: a direct connect that hangs is overtaken by a peer's",
    file: "src/forward/dialrun.ts",
    find: "const DIRECT_HEADSTART_MS = 40;",
    replace: "const DIRECT_HEADSTART_MS = 4000;",
    test: "dialer",
  },
];
