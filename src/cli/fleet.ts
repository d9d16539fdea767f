/**
 * Reads the status of all instances on the platform's list.
 */
import * as E from "fp-ts/Either";
import type { InstanceStatus } from "../entry/operator";
import { GrpcPeerTransport } from "../peer/transport";
import { HttpInstanceList, type ListEntry } from "../store/list";
import { Exit } from "./exit";
import { CommandError } from "./publisher";

const STATUS_TIMEOUT_MS = 1500;

/** A listed instance; its status is undefined where it does not respond. */
export interface FleetInstance {
  readonly name: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly status: InstanceStatus | undefined;
}

/** The instances and endpoints on the platform's list. */
export interface Fleet {
  readonly instances: readonly FleetInstance[];
  readonly endpoints: readonly ListEntry[];
}

/**
 * Reads the platform's list and requests the status of each listed instance.
 *
 * @param listUrl - URL of the platform's list
 * @returns the fleet, or an error where the list cannot be read
 * @example
 * await readFleet("http://127.0.0.1:7400");
 */
export async function readFleet(listUrl: string): Promise<E.Either<CommandError, Fleet>> {
  const instanceList = new HttpInstanceList(listUrl);
  const entries = await instanceList.read()();
  await instanceList.close();
  if (E.isLeft(entries)) {
    return E.left(
      new CommandError(Exit.unreachable, `the list cannot be read: ${entries.left.message}`),
    );
  }
  const transport = new GrpcPeerTransport();
  const instances = await Promise.all(
    entries.right
      .filter((entry) => entry.kind === "instance")
      .map((entry) => readFleetInstance(transport, entry)),
  );
  transport.close();
  return E.right({
    instances,
    endpoints: entries.right.filter((entry) => entry.kind === "endpoint"),
  });
}

async function readFleetInstance(
  transport: GrpcPeerTransport,
  entry: ListEntry,
): Promise<FleetInstance> {
  const { name, dataCentre, state, address } = entry;
  const reply = await transport.readStatus(address, STATUS_TIMEOUT_MS)();
  const status = E.isRight(reply) ? (JSON.parse(reply.right.json) as InstanceStatus) : undefined;
  return { name, dataCentre, state, status };
}
