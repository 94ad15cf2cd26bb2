/**
 * The whole block table in chunks by leading address bits, so that a change
 * rebuilds and transfers only the chunks that it touches. Ranges wider than
 * a chunk stand in one chunk of their own, which is asked last.
 */
import type { ClientBlock } from "@bamboolane/types/fleet";
import { type BlockTable, buildBlockTable, parseCidr } from "./block_table.ts";

const chunkBits = 13;
const chunkSize = 2 ** (32 - chunkBits);
/** Name of the chunk for ranges wider than a chunk. */
const wideChunk = "w";

/** Blocks of one chunk. */
export interface BlockChunk {
  /** Number of the chunk, or `w`. */
  bucket: string;
  blocks: ClientBlock[];
}

function bucketOf(cidr: string): string | undefined {
  const range = parseCidr(cidr);
  if (range === undefined) return undefined;
  const bucket = Math.floor(range.first / chunkSize);
  return Math.floor(range.last / chunkSize) === bucket
    ? String(bucket)
    : wideChunk;
}

/** Splits blocks into chunks, in a stable order. */
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

/** Serializes a chunk, one block a line. */
export function encodeChunk(chunk: BlockChunk): Uint8Array {
  const lines = chunk.blocks.map((block) => `${block.cidr} ${block.site}\n`);
  return new TextEncoder().encode(lines.sort().join(""));
}

/** Reads a chunk's blocks. */
export function decodeChunk(content: Uint8Array): ClientBlock[] {
  const blocks: ClientBlock[] = [];
  for (const line of new TextDecoder().decode(content).split("\n")) {
    const [cidr, site] = line.split(" ");
    if (site !== undefined) blocks.push({ cidr, site });
  }
  return blocks;
}

/** Maps addresses to sites by chunk. */
export class BlockIndex {
  readonly #chunks: ReadonlyMap<string, BlockTable>;
  readonly #byBucket: (BlockTable | undefined)[] = [];
  readonly #wide: BlockTable | undefined;

  constructor(chunks: ReadonlyMap<string, BlockTable>) {
    this.#chunks = chunks;
    this.#wide = chunks.get(wideChunk);
    for (const [bucket, table] of chunks) {
      if (bucket !== wideChunk) this.#byBucket[Number(bucket)] = table;
    }
  }

  get size(): number {
    let size = 0;
    for (const table of this.#chunks.values()) size += table.size;
    return size;
  }

  /** Memory of the tables. Unit: bytes. */
  get sizeBytes(): number {
    let size = 0;
    for (const table of this.#chunks.values()) size += table.sizeBytes;
    return size;
  }

  find(address: number): { site: string; blockKey: string } | undefined {
    const chunk = this.#byBucket[Math.floor(address / chunkSize)];
    return chunk?.find(address) ?? this.#wide?.find(address);
  }
}

/** Builds an index from blocks at once. */
export function buildBlockIndex(blocks: readonly ClientBlock[]): BlockIndex {
  return new BlockIndex(
    new Map(
      splitBlocks(blocks).map((c) => [c.bucket, buildBlockTable(c.blocks)]),
    ),
  );
}
