/**
 * The platform stand-in of a test fleet: what it lists, its faults, and its control stream.
 */

const CALL_TIMEOUT_MS = 3000;

/** An instance or an endpoint in the platform's list. */
export interface PlatformEntry {
  readonly name: string;
  readonly kind: "instance" | "endpoint";
  readonly dataCentre: string;
  readonly address: string;
  /** Address by the data centre that it is reached from. */
  readonly addressFrom?: Readonly<Record<string, string>>;
  readonly state: string;
}

/** An entry, and what the platform is not told of it. */
interface KnownEntry extends PlatformEntry {
  readonly isListed: boolean;
  readonly port: number | undefined;
}

/** Calls the platform stand-in without a proxy, and keeps what it lists. */
export class PlatformClient {
  /** Port of the stand-in; 0 before it is started. */
  port = 0;
  private readonly entries = new Map<string, KnownEntry>();

  /** URL of the stand-in. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Finds an entry, listed or not. */
  find(name: string): KnownEntry | undefined {
    return this.entries.get(name);
  }

  /**
   * Adds a live entry, which is listed from the next publication on.
   *
   * @param port - the port that the process itself listens at, behind its proxy
   */
  add(entry: Omit<PlatformEntry, "state">, port?: number): void {
    this.entries.set(entry.name, { ...entry, state: "live", isListed: true, port });
  }

  /** Sets whether the platform lists a process, and in which state. */
  async setListed(name: string, isListed: boolean, state: string): Promise<void> {
    const entry = this.entries.get(name);
    if (entry === undefined) return;
    this.entries.set(name, { ...entry, isListed, state });
    await this.publishEntries();
  }

  /** Publishes the list of entries to the stand-in. */
  async publishEntries(): Promise<void> {
    const entries = [...this.entries.values()]
      .filter((entry) => entry.isListed)
      .map((entry) => ({ ...entry, isListed: undefined, port: undefined }));
    await this.call("PUT", "/entries", { entries });
  }

  /** Sets faults of the stand-in; faults that are not named keep their state. */
  async setFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    await this.call("PUT", "/faults", faults);
  }

  /** Appends a record to the control stream. */
  async appendToControlStream(record: unknown): Promise<void> {
    await this.call("POST", "/streams/control/records", { records: [record] });
  }

  /** Checks whether the stand-in answers. */
  async isAnswering(): Promise<boolean> {
    return (await this.call("GET", "/entries")) !== undefined;
  }

  private async call(method: string, path: string, body?: unknown): Promise<unknown> {
    const answer = await fetch(`${this.url}${path}`, {
      method,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    }).catch(() => undefined);
    return answer?.json();
  }
}
