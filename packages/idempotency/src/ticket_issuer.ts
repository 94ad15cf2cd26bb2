/**
 * Issues tickets and recognises them. A ticket names the incarnation that
 * issued it; only that incarnation may dispatch it, from its own memory.
 * Tickets carry a tag under a key that dies with the process, so one that
 * was never issued can't pass.
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";

const prefix = "bl1";
const tagLength = 16;

/** Options of {@link TicketIssuer}. */
export interface TicketIssuerOptions {
  instance: string;
  incarnation: number;
  lifetimeMillis: number;
}

/** What a ticket turns out to be. */
export type TicketVerdict =
  | { kind: "own"; expiresAtMillis: number }
  | { kind: "expired" }
  | { kind: "invalid" }
  | { kind: "elsewhere"; instance: string; incarnation: number };

/** True where the key has the form of a ticket. */
export function looksLikeTicket(key: string): boolean {
  return key.startsWith(`${prefix}.`);
}

/** Issues and recognises the tickets of one incarnation. */
export class TicketIssuer {
  readonly #secret = randomBytes(32);
  readonly #options: TicketIssuerOptions;
  #sequence = 0;

  constructor(options: TicketIssuerOptions) {
    this.#options = options;
  }

  /** Issues `count` tickets that end at one time on this instance's clock. */
  issue(
    member: string,
    count: number,
    options: { nowMillis: number },
  ): { tickets: string[]; lifetimeMillis: number } {
    const { lifetimeMillis } = this.#options;
    const expires = Math.ceil(options.nowMillis + lifetimeMillis);
    const tickets = Array.from(
      { length: count },
      () => this.#mint(member, expires),
    );
    return { tickets, lifetimeMillis };
  }

  /** Recognises a ticket that `member` presents. */
  check(
    ticket: string,
    member: string,
    options: { nowMillis: number },
  ): TicketVerdict {
    const parts = ticket.split(".");
    if (parts.length !== 6) return { kind: "invalid" };
    const [, instance, incarnationText, sequence, expiresText, tag] = parts;
    const incarnation = Number(incarnationText);
    if (!Number.isSafeInteger(incarnation)) return { kind: "invalid" };
    const own = instance === this.#options.instance &&
      incarnation === this.#options.incarnation;
    if (!own) return { kind: "elsewhere", instance, incarnation };
    const expected = this.#tag(member, `${sequence}.${expiresText}`);
    if (tag.length !== expected.length) return { kind: "invalid" };
    if (!timingSafeEqual(Buffer.from(tag), Buffer.from(expected))) {
      return { kind: "invalid" };
    }
    const expiresAtMillis = Number(expiresText);
    if (expiresAtMillis <= options.nowMillis) return { kind: "expired" };
    return { kind: "own", expiresAtMillis };
  }

  #mint(member: string, expires: number): string {
    this.#sequence++;
    const { instance, incarnation } = this.#options;
    const tag = this.#tag(member, `${this.#sequence}.${expires}`);
    return [prefix, instance, incarnation, this.#sequence, expires, tag].join(
      ".",
    );
  }

  #tag(member: string, text: string): string {
    const mac = createHmac("sha256", this.#secret).update(`${member}.${text}`);
    return mac.digest("hex").slice(0, tagLength);
  }
}
