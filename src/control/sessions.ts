/**
 * The open sessions of a scheduler, in the order in which they were opened. An instance has one session
 * at a time with a scheduler; it opens another one only after it has given the one before up, whose
 * messages may still arrive after those of the new one.
 */
import type { BookReply } from "../peer/gen/peer";

/** A connection to an instance that requests grants, and the way to reply to it. */
export interface SchedulerSession {
  readonly name: string;
  send(reply: BookReply): void;
}

interface OpenSession {
  readonly session: SchedulerSession;
  /** Its place in the order of openings. */
  readonly order: number;
}

/**
 * Sessions by name.
 *
 * @example
 * sessions.open({ name: "session-1", send: (reply) => stream.write(reply) });
 * sessions.isSuperseded("session-1", "session-2"); // true if session-2 was opened later and is open
 */
export class SessionList {
  private readonly sessions = new Map<string, OpenSession>();
  private openedCount = 0;

  open(session: SchedulerSession): void {
    this.openedCount += 1;
    this.sessions.set(session.name, { session, order: this.openedCount });
  }

  close(name: string): void {
    this.sessions.delete(name);
  }

  has(name: string): boolean {
    return this.sessions.has(name);
  }

  /** Sends a reply; one for a session that is closed is dropped, as nobody waits for it. */
  send(name: string, reply: BookReply): void {
    this.sessions.get(name)?.session.send(reply);
  }

  /**
   * Checks whether what a session says of a request counts no more, as the request was sent on another
   * one that was opened later and is open. Sessions that are closed count as opened first.
   *
   * @param name - the session that says something
   * @param holder - the session on which the request was sent last
   */
  isSuperseded(name: string, holder: string): boolean {
    return (this.sessions.get(holder)?.order ?? 0) > (this.sessions.get(name)?.order ?? 0);
  }
}
