/**
 * The task that keeps the newest revision in force at this instance: it polls
 * the head row if the instance is a relay or lacks recent proofs, processes
 * proofs of the newest revision from peers, fetches bodies and publishes
 * operators' changes.
 */
import { AppliedConfig } from "@bamboolane/agree/applied_config";
import {
  contentHash,
  decodeBody,
  encodeBody,
} from "@bamboolane/agree/content_hash";
import {
  type ConfigChange,
  type PublishedRevision,
  publishRevision,
} from "@bamboolane/agree/publish_revision";
import { readHead } from "@bamboolane/agree/read_revision";
import { ResultCode } from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";
import {
  BlockIndex,
  buildBlockIndex,
  decodeChunk,
  encodeChunk,
  splitBlocks,
} from "@bamboolane/locate/block_index";
import {
  type BlockTable,
  buildBlockTable,
} from "@bamboolane/locate/block_table";
import { type Platform, StoreUncertainError } from "@bamboolane/platform/ports";
import type { ClientBlock, ConfigBody } from "@bamboolane/types/fleet";
import type { EntryContext } from "./context.ts";
import { Invariant } from "./invariants.ts";
import { ObjectCache, type PeerFetch } from "./object_cache.ts";
import { SteeringState } from "./steering_state.ts";

/** Options of {@link ConfigTask}. */
export interface ConfigTaskOptions {
  context: EntryContext;
  platform: Platform;
  /** True if this instance polls the head row for its data centre. */
  isRelay: () => boolean;
  /** Fetches an object from a peer. */
  fetchFromPeer: (
    peer: string,
    hash: string,
  ) => Promise<Uint8Array | undefined>;
  /** Called after a revision was applied. */
  onApplied: (state: SteeringState) => void;
}

/**
 * Proof, from a peer or the store, that a revision was the newest at a certain
 * time.
 */
export interface ConfigProof {
  revision: number;
  /** Content hash of the revision's body. */
  hash: string;
  /** Time on this instance's clock at which the revision was certainly newest. */
  provenAtMillis: number;
  /** Id of the peer; empty for the store. */
  peer: string;
}

/** Number of block table chunks that are fetched concurrently. */
const CHUNK_FETCH_CONCURRENCY = 8;
/** The longest delay between polls after failures, in poll intervals. */
const MAX_BACKOFF_FACTOR = 8;

/** Keeps the configuration of this instance current. */
export class ConfigTask {
  readonly #options: ConfigTaskOptions;
  readonly #applied: AppliedConfig;
  readonly #objects: ObjectCache;
  /** Hashes of the revisions that are being fetched. */
  readonly #fetching = new Set<string>();
  /** Chunks of the block table, by bucket. */
  #chunks = new Map<string, { hash: string; table: BlockTable }>();
  #state: SteeringState | undefined;
  #timer: NodeJS.Timeout | undefined;
  /** Consecutive failed polls. */
  #failures = 0;
  #stopped = false;

  constructor(options: ConfigTaskOptions) {
    this.#options = options;
    const { freshnessMillis } = options.context.settings.timers;
    this.#applied = new AppliedConfig({ freshnessMillis });
    this.#objects = new ObjectCache(options.platform);
  }

  /**
   * Lookup tables of the revision in force; undefined before the first one is
   * applied.
   */
  get state(): SteeringState | undefined {
    return this.#state;
  }

  get revision(): number {
    return this.#applied.revision;
  }

  get hash(): string {
    return this.#applied.hash;
  }

  get body(): ConfigBody | undefined {
    return this.#applied.applied?.body;
  }

  /** Age of the newest proof; infinite before the first. */
  freshAgeMillis(): number {
    return this.#applied.freshAgeMillis(this.#now());
  }

  /** True if there is no fresh proof that the revision in force is the newest. */
  isCutOff(): boolean {
    return this.#applied.isCutOff(this.#now());
  }

  /** A cached immutable object, for peers; undefined if it is not cached. */
  object(hash: string): Uint8Array | undefined {
    return this.#objects.get(hash);
  }

  async start(): Promise<void> {
    await this.#poll();
    this.#schedule();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  /**
   * Processes a proof of the newest revision, and fetches the revision if it is
   * newer.
   */
  async onProof(proof: ConfigProof): Promise<void> {
    const verdict = this.#applied.evaluateProof(proof);
    switch (verdict.kind) {
      case "current":
      case "stale-source":
        return;
      case "contradiction":
        this.#options.context.log.error("config_contradiction", {
          detail: verdict.detail,
        });
        return;
      case "behind":
        await this.#catchUp(proof);
    }
  }

  /**
   * Publishes a change and applies it here. Rejects with a
   * {@link SteeringError}.
   */
  async publish(change: ConfigChange): Promise<PublishedRevision> {
    const published = await publishRevision(this.#options.platform, change);
    const content = encodeBody(published.body);
    this.#objects.put(published.head.hash, content);
    await this.#apply(published.head.hash, published.body, undefined);
    return published;
  }

  /**
   * Applies a completely received revision, unless the same or a newer one is in
   * force.
   */
  async applyReceived(body: ConfigBody): Promise<void> {
    await this.#apply(contentHash(encodeBody(body)), body, undefined);
  }

  /**
   * Writes the chunks of a block table; returns their names, `BUCKET:HASH`.
   * Rejects with `storeAway`.
   */
  async writeBlocks(blocks: readonly ClientBlock[]): Promise<string[]> {
    const names: string[] = [];
    for (const chunk of splitBlocks(blocks)) {
      const content = encodeChunk(chunk);
      const hash = contentHash(content);
      if (this.#objects.get(hash) === undefined) {
        await this.#options.platform.objects.write(hash, content).catch(
          (error) => {
            throw new SteeringError(ResultCode.storeAway, String(error));
          },
        );
        this.#objects.put(hash, content);
      }
      names.push(`${chunk.bucket}:${hash}`);
    }
    return names;
  }

  #schedule(): void {
    if (this.#stopped) return;
    const { headPollMillis } = this.#options.context.settings.timers;
    const backoff = Math.min(MAX_BACKOFF_FACTOR, 2 ** this.#failures);
    const jitter = 0.75 + 0.5 * this.#options.context.random();
    this.#timer = setTimeout(async () => {
      if (this.#shouldPoll()) await this.#poll();
      this.#schedule();
    }, headPollMillis * backoff * jitter);
  }

  /**
   * Relays poll; others poll only if no proof arrived for half of the freshness
   * period.
   */
  #shouldPoll(): boolean {
    const { freshnessMillis } = this.#options.context.settings.timers;
    return this.#options.isRelay() ||
      this.freshAgeMillis() > freshnessMillis / 2;
  }

  async #poll(): Promise<void> {
    // The head was the newest at some time after this; the answer may be late.
    const requestedAtMillis = this.#now();
    try {
      const { head } = await readHead(this.#options.platform);
      this.#failures = 0;
      if (head === undefined) return;
      await this.onProof({
        ...head,
        provenAtMillis: requestedAtMillis,
        peer: "",
      });
    } catch (error) {
      this.#failures++;
      const reason = error instanceof StoreUncertainError
        ? error.message
        : String(error);
      this.#options.context.log.warn("head_poll_failed", {
        reason,
        failures: this.#failures,
      });
    }
  }

  /**
   * Fetches and applies a newer revision. Does nothing if it is unavailable now;
   * a later proof tries again.
   */
  async #catchUp(proof: ConfigProof): Promise<void> {
    if (this.#fetching.has(proof.hash)) return;
    this.#fetching.add(proof.hash);
    try {
      const fromPeer: PeerFetch | undefined = proof.peer === ""
        ? undefined
        : (hash) => this.#options.fetchFromPeer(proof.peer, hash);
      const content = await this.#objects.fetch(proof.hash, fromPeer);
      const body = content && decodeBody(content, proof.hash);
      if (body === undefined) return;
      await this.#apply(proof.hash, body, fromPeer);
      // The proof now matches the applied revision and renews its freshness.
      this.#applied.evaluateProof(proof);
    } finally {
      this.#fetching.delete(proof.hash);
    }
  }

  async #apply(
    hash: string,
    body: ConfigBody,
    fromPeer: PeerFetch | undefined,
  ): Promise<void> {
    const blocks = await this.#loadBlocks(body, fromPeer);
    if (blocks === undefined) return;
    const previousRevision = this.#applied.revision;
    const { revision, changeId } = body;
    if (!this.#applied.apply({ head: { revision, hash, changeId }, body })) {
      return;
    }
    const { context } = this.#options;
    context.invariants.check(
      Invariant.revisionForward,
      this.#applied.revision > previousRevision,
      () => `before=${previousRevision} after=${this.#applied.revision}`,
    );
    this.#objects.keepOnly(
      new Set([hash, ...body.blockChunks.map((name) => name.split(":")[1])]),
    );
    this.#state = new SteeringState({
      revision,
      fleet: body.fleet,
      blocks,
      dataCentre: context.settings.instance.dataCentre,
    });
    context.log.info("config_applied", {
      revision,
      change: changeId,
      operator: body.operator,
      summary: body.summary,
    });
    this.#options.onApplied(this.#state);
  }

  /**
   * Builds the block index; only changed chunks are fetched and built.
   * Undefined if a chunk is unavailable.
   */
  async #loadBlocks(
    body: ConfigBody,
    fromPeer: PeerFetch | undefined,
  ): Promise<BlockIndex | undefined> {
    if (body.blockChunks.length === 0) {
      return buildBlockIndex(body.fleet.clientBlocks);
    }
    const next = new Map<string, { hash: string; table: BlockTable }>();
    for (let i = 0; i < body.blockChunks.length; i += CHUNK_FETCH_CONCURRENCY) {
      const names = body.blockChunks.slice(i, i + CHUNK_FETCH_CONCURRENCY);
      const loaded = await Promise.all(
        names.map((name) => this.#loadChunk(name, fromPeer)),
      );
      for (const chunk of loaded) {
        if (chunk === undefined) return undefined;
        next.set(chunk.bucket, chunk);
      }
    }
    this.#chunks = next;
    return new BlockIndex(
      new Map([...next].map(([bucket, chunk]) => [bucket, chunk.table])),
    );
  }

  async #loadChunk(
    name: string,
    fromPeer: PeerFetch | undefined,
  ): Promise<{ bucket: string; hash: string; table: BlockTable } | undefined> {
    const [bucket, hash] = name.split(":");
    const known = this.#chunks.get(bucket);
    if (known?.hash === hash) return { bucket, ...known };
    const content = await this.#objects.fetch(hash, fromPeer);
    if (content === undefined) return undefined;
    return { bucket, hash, table: buildBlockTable(decodeChunk(content)) };
  }

  #now(): number {
    return this.#options.context.clock.nowMillis();
  }
}
