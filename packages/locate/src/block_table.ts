/**
 * Immutable table from client addresses to sites: sorted, disjoint ranges in
 * typed arrays with binary search. The longest prefix wins.
 */
import type { ClientBlock } from "@bamboolane/types/fleet";

const OCTET_BITS = 8;
const ADDRESS_BITS = 32;

/** Parses a dotted IPv4 address; undefined if it is malformed. */
export function parseIpv4(text: string): number | undefined {
  let value = 0;
  let octet = 0;
  let digits = 0;
  let dots = 0;
  for (let i = 0; i < text.length; i++) {
    // 46 is a dot, 48 to 57 are the digits.
    const char = text.charCodeAt(i);
    if (char === 46) {
      if (digits === 0 || ++dots > 3) return undefined;
      value = value * 256 + octet;
      octet = 0;
      digits = 0;
      continue;
    }
    if (char < 48 || char > 57 || ++digits > 3) return undefined;
    octet = octet * 10 + char - 48;
    if (octet > 255) return undefined;
  }
  if (dots !== 3 || digits === 0) return undefined;
  return value * 256 + octet;
}

/** An address range with its site. */
export interface BlockRange {
  /** First and last address, both inclusive. */
  first: number;
  last: number;
  /** Index into the table's list of site names. */
  site: number;
}

/** Parses `a.b.c.d/n`; undefined if it is malformed. */
export function parseCidr(
  cidr: string,
): { first: number; last: number } | undefined {
  const [, address, bits] = /^([^/]*)\/(\d{1,2})$/.exec(cidr) ?? [];
  if (address === undefined) return undefined;
  const value = parseIpv4(address);
  const prefix = Number(bits);
  if (value === undefined || prefix > ADDRESS_BITS) return undefined;
  const size = 2 ** (ADDRESS_BITS - prefix);
  const first = Math.floor(value / size) * size;
  return { first, last: first + size - 1 };
}

/** Splits nested ranges into disjoint ones; an address belongs to the innermost range. */
function flatten(ranges: BlockRange[]): BlockRange[] {
  // An outer range comes before the ranges inside it.
  ranges.sort((a, b) => a.first - b.first || b.last - a.last);
  const flat: BlockRange[] = [];
  // Ranges entered and not left yet, innermost last.
  const open: BlockRange[] = [];
  // First address of the next range to emit.
  let cursor = 0;
  function emit(last: number, site: number) {
    if (last >= cursor) flat.push({ first: cursor, last, site });
    cursor = Math.max(cursor, last + 1);
  }
  for (const range of ranges) {
    while (open.length > 0 && open[open.length - 1].last < range.first) {
      const closed = open.pop() as BlockRange;
      emit(closed.last, closed.site);
    }
    if (open.length > 0) emit(range.first - 1, open[open.length - 1].site);
    cursor = range.first;
    open.push(range);
  }
  while (open.length > 0) {
    const closed = open.pop() as BlockRange;
    emit(closed.last, closed.site);
  }
  return flat;
}

/** Maps addresses to sites. */
export class BlockTable {
  readonly #firsts: Uint32Array;
  readonly #lasts: Uint32Array;
  readonly #sites: Uint16Array;
  readonly #names: string[];

  constructor(ranges: BlockRange[], names: string[]) {
    const flat = flatten(ranges);
    this.#names = names;
    this.#firsts = Uint32Array.from(flat, (range) => range.first);
    this.#lasts = Uint32Array.from(flat, (range) => range.last);
    this.#sites = Uint16Array.from(flat, (range) => range.site);
  }

  /** Number of disjoint ranges. */
  get size(): number {
    return this.#firsts.length;
  }

  /** Memory used by the arrays. Unit: bytes. */
  get sizeBytes(): number {
    return this.#firsts.byteLength + this.#lasts.byteLength +
      this.#sites.byteLength;
  }

  /** Finds the site of an address; the first address of the matching range is the block's key. */
  find(address: number): { site: string; blockKey: string } | undefined {
    let low = 0;
    let high = this.#firsts.length - 1;
    while (low <= high) {
      const middle = (low + high) >>> 1;
      if (this.#firsts[middle] <= address) low = middle + 1;
      else high = middle - 1;
    }
    if (high < 0 || this.#lasts[high] < address) return undefined;
    return {
      site: this.#names[this.#sites[high]],
      blockKey: String(this.#firsts[high]),
    };
  }
}

/** Builds a table from configured blocks. Malformed blocks are skipped. */
export function buildBlockTable(blocks: readonly ClientBlock[]): BlockTable {
  const names: string[] = [];
  const indexes = new Map<string, number>();
  const ranges: BlockRange[] = [];
  for (const block of blocks) {
    const range = parseCidr(block.cidr);
    if (range === undefined) continue;
    let site = indexes.get(block.site);
    if (site === undefined) {
      site = names.push(block.site) - 1;
      indexes.set(block.site, site);
    }
    ranges.push({ ...range, site });
  }
  return new BlockTable(ranges, names);
}

/** Formats an address as dotted text. */
export function formatIpv4(address: number): string {
  const octets = [];
  for (let shift = ADDRESS_BITS - OCTET_BITS; shift >= 0; shift -= OCTET_BITS) {
    octets.push((address >>> shift) & 255);
  }
  return octets.join(".");
}
