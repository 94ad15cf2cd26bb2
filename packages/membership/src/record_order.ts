/**
 * Order of two records of one instance: a later incarnation wins, then a
 * later version, then the stronger state. An instance that reads of its own
 * death answers with a higher version.
 */
import type { InstanceRecord } from "@bamboolane/types/instance";

/** True where `next` replaces `known`. */
export function isNewer(next: InstanceRecord, known: InstanceRecord): boolean {
  if (next.incarnation !== known.incarnation) {
    return next.incarnation > known.incarnation;
  }
  if (next.version !== known.version) return next.version > known.version;
  return next.state > known.state;
}
