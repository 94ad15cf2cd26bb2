/**
 * Issues and verifies tickets. A ticket names the incarnation that issued it;
 * only that incarnation may dispatch it, from its in-memory execution table.
 * Each ticket carries a MAC under a key that exists only in the issuing process,
 * which rejects tickets that it never issued. Other incarnations can't verify
 * the MAC; they only read the issuer from the ticket.
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";

const TICKET_PREFIX = "bl1";
/** Length to which the MAC is truncated in a ticket. */
const TAG_HEX_DIGITS = 16;

/** Options of {@link TicketIssuer}. */
export interface TicketIssuerOptions {
  instance: string;
  incarnation: number;
  lifetimeMillis: number;
}

/** Result of verifying a ticket; `elsewhere` names the issuer and is unverified. */
export type TicketVerdict =
  | { kind: "own"; expiresAtMillis: number }
  | { kind: "expired" }
  | { kind: "invalid" }
  | { kind: "elsewhere"; instance: string; incarnation: number };

/** True if an idempotency key starts with the ticket prefix. */
export function looksLikeTicket(key: string): boolean {
  return key.startsWith(`${TICKET_PREFIX}.`);
}

/** Issues and verifies the tickets of one incarnation. */
export class TicketIssuer {
  readonly #secret = randomBytes(32);
  readonly #options: TicketIssuerOptions;
  #sequence = 0;

  constructor(options: TicketIssuerOptions) {
    this.#options = options;
  }

  /** Issues `count` tickets that expire together on this instance's clock. */
  issue(
    member: string,
    count: number,
    options: { nowMillis: number },
  ): { tickets: string[]; lifetimeMillis: number } {
    const { lifetimeMillis } = this.#options;
    const expiryMillis = Math.ceil(options.nowMillis + lifetimeMillis);
    const tickets = Array.from(
      { length: count },
      () => this.#createTicket(member, expiryMillis),
    );
    return { tickets, lifetimeMillis };
  }

  /** Verifies a ticket that `member` presents; tickets of other members are invalid. */
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

  #createTicket(member: string, expiryMillis: number): string {
    this.#sequence++;
    const { instance, incarnation } = this.#options;
    const tag = this.#tag(member, `${this.#sequence}.${expiryMillis}`);
    return [
      TICKET_PREFIX,
      instance,
      incarnation,
      this.#sequence,
      expiryMillis,
      tag,
    ].join(
      ".",
    );
  }

  #tag(member: string, text: string): string {
    const mac = createHmac("sha256", this.#secret).update(`${member}.${text}`);
    return mac.digest("hex").slice(0, TAG_HEX_DIGITS);
  }
}
