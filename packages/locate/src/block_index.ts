/**
 * Index of all client blocks, split into chunks by leading address bits, so
 * that a change rebuilds and transfers only the affected chunks. Ranges wider
 * than a chunk are kept in a separate chunk, which is searched last.
 */
import type { ClientBlock } from "@bamboolane/types/fleet";
import { type BlockTable, buildBlockTable, parseCidr } from "./block_table.ts";

/** Number of leading address bits that select a chunk. */
const CHUNK_BITS = 13;
/** Addresses in a chunk. */
const CHUNK_SIZE = 2 ** (32 - CHUNK_BITS);
/** Name of the chunk that holds ranges wider than a chunk. */
const WIDE_CHUNK = "w";

/** Blocks of one chunk. */
export interface BlockChunk {
  /** Id of the chunk: its number, or `w` for the one with wide ranges. */
  bucket: string;
  blocks: ClientBlock[];
}

/** Id of the chunk of a block; undefined if the block is malformed. */
function bucketOf(cidr: string): string | undefined {
  const range = parseCidr(cidr);
  if (range === undefined) return undefined;
  const bucket = Math.floor(range.first / CHUNK_SIZE);
  return Math.floor(range.last / CHUNK_SIZE) === bucket
    ? String(bucket)
    : WIDE_CHUNK;
}

/** Splits blocks into chunks, in a stable order. Malformed blocks are skipped. */
export function splitBlocks(blocks: readonly ClientBlock[]): BlockChunk[] {
  const chunks = new Map<string, ClientBlock[]>();
  for (const block of blocks) {
    const bucket = bucketOf(block.cidr);
    if (bucket === undefined) continue;
    const chunk = chunks.get(bucket);
    if (chunk) chunk.push(block);
    else chunks.set(bucket, [block]);
  }
  return [...chunks].sort(([a], [b]) => a < b ? -1 : 1)
    .map(([bucket, list]) => ({ bucket, blocks: list }));
}

/**
 * Serializes a chunk, one block per line, sorted: the same blocks in another
 * order give the same result.
 */
export function encodeChunk(chunk: BlockChunk): Uint8Array {
  const lines = chunk.blocks.map((block) => `${block.cidr} ${block.site}\n`);
  return new TextEncoder().encode(lines.sort().join(""));
}

/** Deserializes the blocks of a chunk. Malformed lines are skipped. */
export function decodeChunk(content: Uint8Array): ClientBlock[] {
  const blocks: ClientBlock[] = [];
  for (const line of new TextDecoder().decode(content).split("\n")) {
    const [cidr, site] = line.split(" ");
    if (site !== undefined) blocks.push({ cidr, site });
  }
  return blocks;
}

/** Maps client addresses to sites. */
export class BlockIndex {
  readonly #chunks: ReadonlyMap<string, BlockTable>;
  readonly #byBucket: (BlockTable | undefined)[] = [];
  readonly #wide: BlockTable | undefined;

  constructor(chunks: ReadonlyMap<string, BlockTable>) {
    this.#chunks = chunks;
    this.#wide = chunks.get(WIDE_CHUNK);
    for (const [bucket, table] of chunks) {
      if (bucket !== WIDE_CHUNK) this.#byBucket[Number(bucket)] = table;
    }
  }

  /** Number of disjoint ranges, over all chunks. */
  get size(): number {
    let size = 0;
    for (const table of this.#chunks.values()) size += table.size;
    return size;
  }

  /** Memory used by the tables. Unit: bytes. */
  get sizeBytes(): number {
    let size = 0;
    for (const table of this.#chunks.values()) size += table.sizeBytes;
    return size;
  }

  /**
   * Finds the site of an address. The chunk's own ranges take precedence over
   * wide ones, as their prefixes are longer.
   */
  find(address: number): { site: string; blockKey: string } | undefined {
    const chunk = this.#byBucket[Math.floor(address / CHUNK_SIZE)];
    return chunk?.find(address) ?? this.#wide?.find(address);
  }
}

/** Builds an index from all blocks. */
export function buildBlockIndex(blocks: readonly ClientBlock[]): BlockIndex {
  return new BlockIndex(
    new Map(
      splitBlocks(blocks).map((c) => [c.bucket, buildBlockTable(c.blocks)]),
    ),
  );
}
