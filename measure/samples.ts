/**
 * Creates members, scheduling requests, log records and filled grant tables of any size, for measurements.
 */
import { createBlackboard } from "../src/board/board";
import { GrantTable } from "../src/control/grants";
import { Precedence } from "../src/core/queues/fairqueue";
import { Claims } from "../src/core/claims";
import { ControlFold } from "../src/core/config/controlfold";
import type { PlacementCandidate } from "../src/core/placement";
import { range } from "./fit";

export const createMember = (index: number) => ({
  instance: `dc-${index % 18}-${index}`,
  incarnation: `dc-${index % 18}-${index}/5f0c2a9b71d3`,
  dataCentre: `dc-${index % 18}`,
});
export const createWant = (index: number) => ({
  id: `dc-1-4/5f0c2a9b71d3:${index}`,
  workspace: `workspace-${index % 8300}`,
  class: "clause",
  model: "drafter",
  route: "drafting",
  pool: "drafter",
  promptTokens: 1200,
  outputTokens: 256,
  firstTokenMs: 1100,
  patienceMs: 8000,
  blocks: [1, 2, 3, 4].map((part) => index * 1e6 + part),
  fingerprint: "0123456789abcdef0123456789abcdef",
  dataCentre: "dc-1",
  exclude: [],
  resumed: false,
  crashes: [],
});
export const createCandidate = (index: number): PlacementCandidate => ({
  name: `e${index}`,
  dataCentre: "dc-1",
  slots: 20,
  usedSlots: index % 20,
  tokensAhead: 0,
  transfers: 0,
  cachedTokens: 0,
  hasSuspect: false,
});

/** Prepares a grant table whose decode engines run twelve requests each, and returns the listing of its candidates. */
export function prepareCandidateViews(engines: number): () => void {
  const board = createBlackboard();
  const names = range(engines).map((index) => `runner-${index}`);
  const decodeEngines = names.map((name) => ({
    name,
    url: "",
    dataCentre: "dc-1",
    role: "decode" as const,
    models: ["drafter"],
  }));
  const grants = new GrantTable(board);
  for (const name of names) {
    const report = { name, incarnation: "1", role: "decode", models: ["drafter"], slots: 20 };
    const state = { holds: [], queuedTokens: 0, isDraining: false, fence: 0, reportedAt: 0 };
    board.endpoints.set(name, { ...report, ...state });
    for (const index of range(12)) {
      const places = { prefill: "p", decode: name, prefillProcess: "", decodeProcess: "" };
      const times = { grantedAt: 0, deadline: 1e9, decodingSince: 0 };
      grants.addGrant({
        want: { ...createWant(index), id: `${name}-${index}` },
        session: "s",
        ...places,
        ...times,
      });
    }
  }
  const waiting = { id: "x", workspace: "w", priorityClass: "c", weight: 1, cost: 1 };
  const item = {
    ...waiting,
    precedence: Precedence.usual,
    targetDeadline: 1,
    deadline: 1,
    want: createWant(0),
    arrivedAt: 0,
    session: "s",
  };
  return () => void grants.listCandidates(decodeEngines, item, 1);
}

export function createRecord(index: number): unknown {
  return {
    id: "6b0d2f7e-2a53-4b1e-9d0b-0f6a4c6b1c11",
    basedOn: index - 1,
    changes: [createWorkspaceChange(index)],
  };
}

export function createWorkspaceChange(index: number): unknown {
  return {
    kind: "workspaces",
    name: `workspace-${index}`,
    value: { rate: 2000, burst: 24_000, classes: ["clause", "schedule"] },
  };
}

export function foldWorkspaces(size: number): ControlFold {
  const fold = new ControlFold();
  const classes = ["clause", "schedule"].map((name) => ({
    kind: "classes",
    name,
    value: { weight: 1, firstTokenMs: 1100, betweenTokensMs: 60, patienceMs: 8000 },
  }));
  const keys = range(size).map((index) => ({
    kind: "keys",
    name: String(index).padStart(64, "0"),
    value: { workspace: `workspace-${index}` },
  }));
  fold.fold({
    offset: 0,
    record: {
      id: "a",
      basedOn: -1,
      changes: [...classes, ...range(size).map(createWorkspaceChange), ...keys],
    },
  });
  return fold;
}

export function foldClaims(size: number): Claims {
  const claims = new Claims();
  for (const index of range(size)) {
    const claim = `${index}`.padStart(32, "0");
    claims.fold({ id: createWant(index).id, claim, digest: claim });
    claims.fold({
      id: `o${index}`,
      outcomeOf: claim,
      claimId: createWant(index).id,
      status: 200,
      body: `{"sheet":"${index}","sacks":3}`,
      type: "application/json",
    });
  }
  return claims;
}
