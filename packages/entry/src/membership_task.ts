/**
 * The task that owns membership: the membership table, the heartbeat mesh, and
 * the first contacts from the settings and the platform's instance list.
 */
import {
  HeartbeatMesh,
  type MeshListener,
} from "@bamboolane/membership/heartbeat_mesh";
import { MembershipTable } from "@bamboolane/membership/membership_table";
import type { ListedInstance, Platform } from "@bamboolane/platform/ports";
import type { CrashSuspect, InstanceRecord } from "@bamboolane/types/instance";
import { InstanceState } from "@bamboolane/types/instance";
import { connectPeer, fetchPeerObject } from "@bamboolane/wire/peer_channel";
import type { ConfigProof, ConfigTask } from "./config_task.ts";
import type { EntryContext } from "./context.ts";

/** Options of {@link MembershipTask}. */
export interface MembershipTaskOptions {
  context: EntryContext;
  platform: Platform;
  incarnation: number;
  config: () => ConfigTask;
  /** Crash records to send to peers. */
  suspects: () => CrashSuspect[];
  /** Called with crash records that a peer sent. */
  onSuspects: (suspects: CrashSuspect[]) => void;
  /**
   * Called after the membership changed, or the set of ids that the platform's
   * list marks as leaving.
   */
  onChange: () => void;
}

const MAX_RECORDS = 4096;
const DEAD_RECORD_RETENTION_MILLIS = 600_000;
/** Listed instances that are contacted after one poll of the list. */
const MAX_CONTACTS = 20;
const UNREACHABLE_REFRESH_MILLIS = 250;
const OBJECT_FETCH_TIMEOUT_MILLIS = 2000;

/** Maintains this instance's membership. */
export class MembershipTask {
  readonly table: MembershipTable;
  readonly mesh: HeartbeatMesh;
  readonly #options: MembershipTaskOptions;
  #seedTimer: NodeJS.Timeout | undefined;
  #unreachable = new Set<string>();
  #listedAsLeaving: ReadonlySet<string> = new Set();
  #unreachableAtMillis = -Infinity;

  constructor(options: MembershipTaskOptions) {
    this.#options = options;
    const { context } = options;
    const { settings } = context;
    this.table = new MembershipTable({
      self: {
        ...settings.instance,
        callerAddress: settings.advertise.callers ?? settings.listen.callers,
        peerAddress: settings.advertise.peers ?? settings.listen.peers,
        incarnation: options.incarnation,
        version: 1,
        state: InstanceState.joining,
        revision: 0,
        cutOff: true,
        pools: [],
      },
      maxRecords: MAX_RECORDS,
      deadRetentionMillis: DEAD_RECORD_RETENTION_MILLIS,
    });
    this.mesh = new HeartbeatMesh({
      table: this.table,
      secret: settings.credentials.peerSecret,
      heartbeatMillis: settings.timers.heartbeatMillis,
      suspectAfterMillis: settings.timers.suspectAfterMillis,
      log: context.log,
      now: () => context.clock.nowMillis(),
      proof: () => {
        const config = options.config();
        return {
          revision: config.revision,
          hash: config.hash,
          freshAgeMillis: config.freshAgeMillis(),
        };
      },
      suspects: options.suspects,
      listener: this.#listener(),
    });
  }

  async start(): Promise<void> {
    this.mesh.start();
    await this.#seed();
    const { listPollMillis } = this.#options.context.settings.timers;
    this.#seedTimer = setInterval(() => this.#seed(), listPollMillis);
  }

  stop(): void {
    clearInterval(this.#seedTimer);
    this.mesh.stop();
  }

  /** Changes this instance's record and sends it to peers immediately. */
  announce(
    fields: Partial<
      Pick<InstanceRecord, "state" | "revision" | "cutOff" | "pools">
    >,
  ): void {
    this.table.updateSelf(fields, this.#options.context.clock.nowMillis());
    this.mesh.sendSoon();
  }

  /** Data centres that are considered unreachable; cached for a short time. */
  unreachable(): Set<string> {
    const now = this.#options.context.clock.nowMillis();
    if (now - this.#unreachableAtMillis >= UNREACHABLE_REFRESH_MILLIS) {
      this.#unreachableAtMillis = now;
      this.#unreachable = this.mesh.unreachableDataCentres();
    }
    return this.#unreachable;
  }

  /**
   * Fetches an object of the configuration from a peer; undefined if the peer
   * is unknown or lacks it.
   */
  async fetchFromPeer(
    peer: string,
    hash: string,
  ): Promise<Uint8Array | undefined> {
    const record = this.table.get(peer);
    if (record === undefined) return undefined;
    const { peerSecret } = this.#options.context.settings.credentials;
    const connection = connectPeer(record.peerAddress, peerSecret);
    try {
      return await fetchPeerObject(
        connection,
        hash,
        OBJECT_FETCH_TIMEOUT_MILLIS,
      );
    } finally {
      connection.close();
    }
  }

  #listener(): MeshListener {
    const { metrics } = this.#options.context;
    return {
      onProof: (proof: ConfigProof) => {
        this.#options.config().onProof(proof).catch((error) =>
          this.#options.context.log.warn("proof_failed", {
            error: String(error),
          })
        );
      },
      onChange: () => this.#options.onChange(),
      onSuspects: (suspects) => this.#options.onSuspects(suspects),
      onTraffic: (direction, bytes) => {
        metrics.count("bamboolane_heartbeats", 1, { direction });
        metrics.count("bamboolane_heartbeat_bytes", bytes, { direction });
      },
    };
  }

  /**
   * Contacts instances that are not in the membership table yet: the
   * configured seeds while no peer is known, and instances of the platform's
   * list.
   */
  async #seed(): Promise<void> {
    const { platform, context } = this.#options;
    const { seeds } = context.settings;
    if (this.table.all().length === 1) {
      for (const address of seeds) this.mesh.contact(address);
    }
    try {
      const listed = await platform.instances.list();
      this.#updateListedAsLeaving(listed);
      const unknown = listed.filter((item) =>
        item.kind !== "target" && this.table.get(item.id) === undefined
      );
      for (const item of this.#chooseContacts(unknown)) {
        this.mesh.contact(item.peerAddress);
      }
    } catch (error) {
      context.log.warn("instance_list_failed", { reason: String(error) });
    }
  }

  /** Ids of instances and targets that the platform's list marks as leaving. */
  listedAsLeaving(): ReadonlySet<string> {
    return this.#listedAsLeaving;
  }

  #updateListedAsLeaving(listed: ListedInstance[]): void {
    const leaving = new Set(
      listed.filter((item) => item.leaving).map((item) => item.id),
    );
    const unchanged = leaving.size === this.#listedAsLeaving.size &&
      [...leaving].every((id) => this.#listedAsLeaving.has(id));
    if (unchanged) return;
    this.#listedAsLeaving = leaving;
    this.#options.onChange();
  }

  /** Picks a few instances at random, preferring this data centre. */
  #chooseContacts(listed: ListedInstance[]): ListedInstance[] {
    const { dataCentre } = this.#options.context.settings.instance;
    const distance = (item: ListedInstance) =>
      item.dataCentre === dataCentre ? 0 : 1;
    return listed.map((item) => ({
      item,
      rank: distance(item) + this.#options.context.random(),
    }))
      .sort((a, b) => a.rank - b.rank).slice(0, MAX_CONTACTS).map(({ item }) =>
        item
      );
  }
}
