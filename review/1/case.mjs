/**
 * Runners leave without having reported it, one after the other, while several processes of the system
 * are killed at the same moment and start again. Checked: whether instances that were not killed go on
 * sending to a runner later than `drain-ms` after the store accepted the removal of its entry.
 */
import { Buffer } from "node:buffer";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { setTimeout as pause } from "node:timers/promises";
import { createAgent, createId, send } from "../lib/client.mjs";
import {
  BROKEN,
  CaseRecord,
  createRandom,
  Deployment,
  DRAIN_MS,
  HEARTBEAT_MS,
  HELD,
  NOT_RUN,
  SERVICE,
  STABLE_MS,
  ZONES,
} from "../lib/deployment.mjs";
import { ROOT } from "../lib/instances.mjs";
import { Runner } from "../lib/runner.mjs";

const INSTANCES = 8;
const RUNNERS = 4;
const ROUNDS = 8;
/** Processes that are killed at the same moment: half; the sheet's largest share is 0.55. */
const KILLED = 4;
const RESTART_MS = 300;
/** The runner leaves this long after the kill at most, in milliseconds. */
const MAX_LEAVE_MS = 700;
/** How long a runner serves after its entry was removed: `drain-ms` and some seconds. */
const SERVES_ON_MS = 6500;
const ROUND_MS = 10_500;
const WORK_MS = 86;
const CLIENTS_EACH = 4;
const CLIENT_PAUSE_MS = 60;
const TIMEOUT_MS = 3000;

const isTroubled = process.env["TROUBLE"] !== "0";
const seed = Number(process.env["SEED"] ?? Date.now() % 1_000_000);
const random = createRandom(seed);
const record = new CaseRecord(join(ROOT, "review/1/record.txt"));
const deployment = new Deployment(INSTANCES);
const { instances, store } = deployment;
const runners = [];
/** By runner id: when the store accepted the removal of its entry. */
const removedAt = new Map();
/** By instance: when its process was last killed or started. */
const disturbedAt = new Map();
/** By request id: where and when it was sent. */
const sent = new Map();
const violations = [];
/** Requests that were cut off as their runner exited, long after it left. */
const cutOff = new Set();
let lost = 0;
let answered = 0;
let isOver = false;

function onRun({ runner, id, at }) {
  const request = sent.get(id);
  const leftAt = removedAt.get(runner);
  if (request === undefined) record.add(`UNKNOWN request ${id} ran at ${runner}`);
  if (request === undefined || leftAt === undefined) return;
  const afterMs = Math.round(request.sentAt - leftAt);
  const { instance } = request;
  const isCalm = at - (disturbedAt.get(instance.name) ?? -Infinity) >= STABLE_MS;
  const isLate = afterMs > DRAIN_MS && isCalm;
  const text = `ran ${id} at ${runner}, sent to ${instance.name} ${afterMs} ms after its removal`;
  record.add(`${isLate ? "LATE " : ""}${text}${isCalm ? "" : " (not in touch)"}`, at);
  if (isLate) violations.push({ id, runner, instance: instance.name, afterMs });
}

async function addRunner(number) {
  const runner = new Runner({
    id: `i-${seed.toString(16)}-${number}`,
    service: SERVICE,
    zone: ZONES[number % ZONES.length],
    ...deployment.nextRunnerAddress(),
    store,
    workMs: WORK_MS,
    heartbeatMs: HEARTBEAT_MS,
    onRun,
  });
  await runner.start();
  record.add(`runner ${runner.options.id} registered`);
  runners.push(runner);
}

/** A client of one instance; it goes on while the instance is up. */
async function runClient(instance) {
  const agent = createAgent();
  while (!isOver) {
    await pause(CLIENT_PAUSE_MS * (0.5 + random()));
    if (!instance.isRunning || !instance.takesClients) continue;
    const id = createId();
    const body = Buffer.from(`issue ${id}`);
    const call = { method: "POST", path: `/issues/${id}`, body, id, agent, timeoutMs: TIMEOUT_MS };
    sent.set(id, { instance, sentAt: performance.now() });
    const answer = await send({ ...instance.front, ...call });
    if (answer.status === 200) answered += 1;
    else record.add(`answer ${answer.status} to ${id} from ${instance.name} ${answer.body ?? ""}`);
    if (cutOff.has(id) && answer.status !== 200) lost += 1;
  }
  agent.destroy();
}

/** Kills processes at the same moment, and starts them again after a short delay. */
async function killSome() {
  const chosen = [...instances].sort(() => random() - 0.5).slice(0, KILLED);
  record.add(`kill ${chosen.map(({ name }) => name).join(" ")}`);
  for (const instance of chosen) {
    instance.takesClients = false;
    disturbedAt.set(instance.name, performance.now());
    instance.signal("SIGKILL");
  }
  await Promise.all(chosen.map((instance) => instance.exited));
  await pause(RESTART_MS);
  for (const instance of chosen) {
    instance.start();
    disturbedAt.set(instance.name, performance.now());
  }
  record.add("started again");
  for (const instance of chosen) {
    await instance.waitUntilReady();
    disturbedAt.set(instance.name, performance.now());
    instance.takesClients = true;
  }
}

async function runRound(number) {
  const startedAt = performance.now();
  const killing = isTroubled ? killSome() : Promise.resolve();
  await pause(100 + random() * (MAX_LEAVE_MS - 100));
  const leaving = runners.shift();
  removedAt.set(leaving.options.id, leaving.leave());
  record.add(`runner ${leaving.options.id} leaves: its entry is removed`);
  await addRunner(RUNNERS + number);
  await killing;
  await pause(Math.max(0, startedAt + SERVES_ON_MS - performance.now()));
  const cut = leaving.exit();
  for (const id of cut) cutOff.add(id);
  record.add(`runner ${leaving.options.id} exits, and cuts off ${cut.join(" ") || "nothing"}`);
  await pause(Math.max(0, startedAt + ROUND_MS - performance.now()));
}

async function run() {
  record.add(`seed ${seed}, trouble ${isTroubled ? "on" : "off"}`);
  await deployment.start();
  for (let number = 0; number < RUNNERS; number += 1) await addRunner(number);
  await deployment.waitUntilReady();
  for (const instance of instances) instance.takesClients = true;
  record.add("all instances are ready");
  const clients = instances.flatMap((instance) =>
    Array.from({ length: CLIENTS_EACH }, () => runClient(instance)),
  );
  await pause(STABLE_MS + 500);
  for (let number = 0; number < ROUNDS && violations.length === 0; number += 1) {
    await runRound(number);
  }
  isOver = true;
  await Promise.all(clients);
  if (answered === 0) throw new Error("no request was served");
}

try {
  await run();
  const senders = new Set(violations.map(({ instance }) => instance));
  const text = `${violations.length} requests reached a runner later than ${DRAIN_MS} ms after its removal`;
  const summary = `${text}, by ${senders.size} instances; ${lost} of all requests were cut off as their runner exited; ${answered} answered`;
  record.add(summary);
  console.log(summary);
  process.exitCode = violations.length > 0 ? BROKEN : HELD;
} catch (error) {
  record.add(`could not run: ${error.stack}`);
  console.log(`could not run: ${error.message}`);
  process.exitCode = NOT_RUN;
} finally {
  isOver = true;
  for (const runner of runners) runner.exit();
  await deployment.close();
  record.write();
}
