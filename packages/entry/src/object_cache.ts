/**
 * Caches the immutable objects of the revision in force, also to serve peers.
 * Missing objects are fetched from a peer or else from the store.
 */
import { contentHash } from "@bamboolane/agree/content_hash";
import type { Platform } from "@bamboolane/platform/ports";

/** Fetches an object from one peer. */
export type PeerFetch = (hash: string) => Promise<Uint8Array | undefined>;

/** Objects by content hash. */
export class ObjectCache {
  readonly #objects = new Map<string, Uint8Array>();
  readonly #platform: Platform;

  constructor(platform: Platform) {
    this.#platform = platform;
  }

  get(hash: string): Uint8Array | undefined {
    return this.#objects.get(hash);
  }

  /**
   * Returns the object from the cache, the peer or the store; undefined if none
   * of them has a content that matches the hash now.
   */
  async fetch(
    hash: string,
    fromPeer: PeerFetch | undefined,
  ): Promise<Uint8Array | undefined> {
    const known = this.#objects.get(hash);
    if (known) return known;
    const sources = [
      fromPeer,
      (wanted: string) => this.#platform.objects.read(wanted),
    ];
    for (const source of sources) {
      const content = await source?.(hash).catch(() => undefined);
      if (content === undefined || contentHash(content) !== hash) continue;
      this.#objects.set(hash, content);
      return content;
    }
    return undefined;
  }

  put(hash: string, content: Uint8Array): void {
    this.#objects.set(hash, content);
  }

  /** Removes all objects except `hashes`. */
  keepOnly(hashes: ReadonlySet<string>): void {
    for (const hash of this.#objects.keys()) {
      if (!hashes.has(hash)) this.#objects.delete(hash);
    }
  }
}
