/**
 * Order of two records of the same instance: the higher incarnation wins, then
 * the higher version, then the higher state. An instance that receives a record
 * of its own death refutes it with a higher version.
 */
import type { InstanceRecord } from "@bamboolane/types/instance";

/** True if `next` replaces `known`. */
export function isNewer(next: InstanceRecord, known: InstanceRecord): boolean {
  if (next.incarnation !== known.incarnation) {
    return next.incarnation > known.incarnation;
  }
  if (next.version !== known.version) return next.version > known.version;
  return next.state > known.state;
}
