/**
 * Measures the slopes from which docs/CAPACITY.md is calculated: bytes, microseconds and memory for each member,
 * load report, claim, configuration record, decision, charge and so on. Each is measured at four sizes or more and
 * reported with its least-squares fit and the residual.
 *
 * Usage: npm run measure:slopes
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { createBlackboard } from "../src/board/board";
import { TokenBucket } from "../src/core/bucket";
import { FairQueue, type FairQueueItem, Precedence } from "../src/core/queues/fairqueue";
import { ReservingPolicy } from "../src/core/placement";
import { chooseByRendezvousHash } from "../src/core/rendezvous";
import {
  BookReply,
  BookRequest,
  ChargeReply,
  ChargeRequest,
  HeartbeatMessage,
  LendReply,
  LendRequest,
  SettleRequest,
} from "../src/peer/gen/peer";
import {
  createRecord,
  foldClaims,
  foldWorkspaces,
  createMember,
  prepareCandidateViews,
  createCandidate,
  createWant,
} from "./samples";
import { measureBytes, measureMemory, measureMicros, range } from "./fit";
import { prepareIdleMember } from "./relay";

void run();

async function run(): Promise<void> {
  const slopes = [
    measureBytes(
      "heartbeat, by members passed on",
      [0, 8, 32, 128, 512],
      (size) => HeartbeatMessage.encode(createHeartbeat(size)).finish().length,
    ),
    measureBytes("book: one exchange, by requests in it", [1, 4, 16, 64], (size) => {
      const done = range(size).flatMap((index) =>
        ["decoding", "ended"].map((stage) => ({
          id: createWant(index).id,
          stage,
          fault: "",
          engine: "runner-17",
        })),
      );
      const grants = range(size).map((index) => ({
        id: createWant(index).id,
        prefill: "runner-1",
        decode: "runner-17",
        candidates: 40,
        reason: "lowest cost 12.5 ms; cached 0 tokens",
        prefillProcess: "runner-1@0123456789ab",
        decodeProcess: "runner-17@0123456789ab",
        lateReserve: false,
      }));
      return (
        BookRequest.encode({ wants: range(size).map(createWant), done }).finish().length +
        BookReply.encode(BookReply.fromPartial({ grants })).finish().length
      );
    }),
    measureBytes(
      "charge and settle, by requests",
      [1, 4, 16, 64],
      (size) =>
        size *
        (ChargeRequest.encode({
          chargeId: createWant(1).id,
          workspace: "workspace-17",
          tokens: 1456,
          remainingMs: 1500,
        }).finish().length +
          ChargeReply.encode({ granted: true, retryAfterMs: 0, reason: "" }).finish().length +
          countSettleBytes(createWant(1).id, false)),
    ),
    measureBytes(
      "loan: asked, spent, settled, by loans",
      [1, 4, 16, 64],
      (size) =>
        size *
        (LendRequest.encode({
          loanId: `${createWant(1).id}@dc-1`,
          workspace: "workspace-17",
          tokens: 1456,
          further: [],
        }).finish().length +
          LendReply.encode({ tokens: 1456, furtherTokens: [] }).finish().length +
          2 * countSettleBytes(`${createWant(1).id}@dc-1`, true)),
    ),
    measureBytes(
      "claim and outcome records, by claims",
      [1, 10, 100, 1000],
      (size) =>
        JSON.stringify(
          range(size).flatMap((index) => [
            {
              id: createWant(index).id,
              claim: createWant(index).fingerprint,
              digest: createWant(index).fingerprint,
            },
            {
              id: createWant(index).id,
              outcomeOf: createWant(index).fingerprint,
              claimId: createWant(index).id,
              status: 200,
              body: '{"sheet":"4711","sacks":3}',
              type: "application/json",
            },
          ]),
        ).length,
    ),
    measureBytes(
      "configuration records, by changes",
      [1, 10, 100, 1000],
      (size) => JSON.stringify(range(size).map(createRecord)).length,
    ),
    measureBytes(
      "snapshot, by workspaces",
      [100, 1000, 4000, 8300],
      (size) => JSON.stringify(foldWorkspaces(size).createSnapshot("s")).length,
    ),
    measureMicros(
      "heartbeat encoded and decoded, by members passed on",
      [0, 8, 32, 128, 512],
      (size) => {
        const message = createHeartbeat(size);
        return () => void HeartbeatMessage.decode(HeartbeatMessage.encode(message).finish());
      },
    ),
    measureMicros("book exchange encoded and decoded, by requests", [1, 4, 16, 64], (size) => {
      const message = { wants: range(size).map(createWant), done: [] };
      return () => void BookRequest.decode(BookRequest.encode(message).finish());
    }),
    measureMicros(
      "relay: one second of an idle member, by members of the fleet",
      [20, 86, 150, 300],
      prepareIdleMember,
    ),
    measureMicros("placement decision, by pairs of engines", [8, 64, 400, 1600], (size) => {
      const enginesPerStage = Math.round(Math.sqrt(size));
      const views = range(enginesPerStage).map(createCandidate);
      const policy = new ReservingPolicy();
      return () =>
        void policy.choose(
          { promptTokens: 1200, isSuspect: false, dataCentre: "dc-1" },
          views,
          views,
        );
    }),
    measureMicros(
      "book: views of all engines for one decision, by engines",
      [4, 8, 16, 32, 56],
      prepareCandidateViews,
    ),
    measureMicros("queue: push and take, by waiting workspaces", [10, 50, 200, 800], (size) => {
      const queue = new FairQueue<FairQueueItem>();
      const push = (index: number) => {
        queue.push({
          id: `w${index}`,
          workspace: `workspace-${index % size}`,
          priorityClass: "clause",
          weight: 1,
          precedence: Precedence.usual,
          cost: 1200,
          targetDeadline: 1e9,
          deadline: 1e9,
        });
      };
      range(size).forEach(push);
      let next = size;
      return () => {
        push((next += 1));
        queue.dequeue(queue.listHeads(0)[0]?.id ?? "");
      };
    }),
    measureMicros(
      "charge and settle, by charges outstanding of the workspace",
      [1, 50, 200, 800],
      (size) => {
        const bucket = new TokenBucket({ rate: 1e6, burst: 1e9 }, 0, 1e9);
        for (const index of range(size)) bucket.charge(`c${index}`, 10, 1e12, 0);
        let now = 0;
        return () => {
          now += 1;
          bucket.charge("x", 10, 1e12, now);
          bucket.settle("x", 5, now);
        };
      },
    ),
    measureMicros("configuration record folded, by workspaces", [100, 1000, 4000, 8300], (size) => {
      const fold = foldWorkspaces(size);
      return () => {
        const { version } = fold.state;
        fold.fold({
          offset: fold.next,
          record: {
            id: "x",
            basedOn: version,
            changes: [{ kind: "selectors", name: "s", value: { a: [String(version)] } }],
          },
        });
      };
    }),
    measureMicros("claim folded, by claims known", [100, 1000, 10_000, 50_000], (size) => {
      const claims = foldClaims(size);
      let next = size;
      return () => {
        claims.fold({ id: `c${(next += 1)}`, claim: `n${next}`, digest: "d" });
      };
    }),
    measureMicros("rendezvous choice, by members", [8, 32, 128, 590], (size) => {
      const names = range(size).map((index) => `dc-1-${index}`);
      return () => void chooseByRendezvousHash("drafter", names);
    }),
    measureMemory("workspace in the configuration", [1000, 2000, 4000, 8300], foldWorkspaces),
    measureMemory("claim with its answer", [5000, 10_000, 20_000, 40_000], foldClaims),
    measureMemory("bucket", [1000, 2000, 4000, 8300], (size) =>
      range(size).map((index) => [index, new TokenBucket({ rate: 1, burst: 1000 }, 0, 0)]),
    ),
    measureMemory("charge outstanding", [1000, 2000, 4000, 8000], (size) => {
      const bucket = new TokenBucket({ rate: 1e6, burst: 1e9 }, 0, 1e9);
      for (const index of range(size)) bucket.charge(createWant(index).id, 10, 1e12, 0);
      return bucket;
    }),
    measureMemory("member, list entry and endpoint report", [100, 200, 400, 800], (size) => {
      const board = createBlackboard();
      for (const index of range(size)) {
        board.members.set(createMember(index).instance, {
          ...createMember(index),
          deadline: index,
          isDraining: false,
        });
        board.endpoints.set(`runner-${index}`, {
          name: `runner-${index}`,
          incarnation: "0123456789ab",
          role: "decode",
          models: ["drafter"],
          slots: 20,
          holds: range(20).map((hold) => `${createWant(index).id}-${hold}`),
          queuedTokens: 0,
          isDraining: false,
          fence: 1,
          reportedAt: index,
        });
      }
      return board;
    }),
    measureMemory("request waiting in a book", [1000, 2000, 4000, 8000], (size) =>
      range(size).map((index) => JSON.parse(JSON.stringify(createWant(index))) as unknown),
    ),
  ];
  console.table(
    slopes.map(({ what, unit, slope, base, residual }) => ({ what, unit, slope, base, residual })),
  );
  mkdirSync("measure/out", { recursive: true });
  writeFileSync(
    "measure/out/slopes.json",
    JSON.stringify({ command: "npm run measure:slopes", slopes }, null, 2),
  );
  await Promise.resolve();
}

/** Creates a heartbeat that passes on `size` members. */
function createHeartbeat(size: number): HeartbeatMessage {
  return {
    from: createMember(0),
    members: range(size).map(createMember),
    controlNext: 1e6,
    controlAgeMs: 300,
    leavingEndpoints: [],
    bans: [],
    draining: false,
  };
}

function countSettleBytes(chargeId: string, isSpent: boolean): number {
  return SettleRequest.encode({
    chargeId,
    workspace: "workspace-17",
    spent: isSpent,
    closed: true,
    unused: 100,
  }).finish().length;
}
