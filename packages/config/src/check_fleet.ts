/**
 * Cross-field rules of the fleet configuration: ids that are referenced are
 * defined, ids of data centres, members, services, targets, exceptions and moves
 * are unique, exceptions change at least one field, and moves lead to another
 * data centre in ascending steps within their cap.
 */
import type { FleetConfig, Move, ServiceConfig } from "@bamboolane/types/fleet";

/** A violated rule and the path of the field. */
export interface FleetProblem {
  path: PropertyKey[];
  expected: string;
}

type ReportProblem = (path: PropertyKey[], expected: string) => void;

function checkUnique(
  ids: string[],
  path: PropertyKey[],
  report: ReportProblem,
): void {
  const seen = new Set<string>();
  ids.forEach((id, index) => {
    if (seen.has(id)) report([...path, index, "id"], `"${id}" is given twice`);
    seen.add(id);
  });
}

/** Targets' ids are unique over all services. */
function checkUniqueTargets(
  services: readonly ServiceConfig[],
  report: ReportProblem,
): void {
  const seen = new Set<string>();
  services.forEach((service, i) =>
    service.targets.forEach(({ id }, j) => {
      if (seen.has(id)) {
        report(["services", i, "targets", j, "id"], `"${id}" is given twice`);
      }
      seen.add(id);
    })
  );
}

function checkMove(
  move: Move,
  path: PropertyKey[],
  report: ReportProblem,
): void {
  let previous = 0;
  move.steps.forEach((share, index) => {
    if (share > move.capShare) {
      report(
        [...path, "steps", index],
        `expected at most capShare (${move.capShare})`,
      );
    }
    if (share < previous) {
      report([...path, "steps", index], "expected ascending steps");
    }
    previous = share;
  });
  if (move.step >= move.steps.length) {
    report([...path, "step"], "expected the index of a step");
  }
  if (move.from === move.to) {
    report([...path, "to"], "expected a data centre other than `from`");
  }
}

/** Returns every violation. */
export function checkFleet(fleet: FleetConfig): FleetProblem[] {
  const problems: FleetProblem[] = [];
  const report: ReportProblem = (path, expected) =>
    problems.push({ path, expected });
  const dataCentres = fleet.regions.flatMap((r) =>
    r.dataCentres.map((d) => d.id)
  );
  const known = {
    dataCentre: new Set(dataCentres),
    region: new Set(fleet.regions.map((r) => r.id)),
    member: new Set(fleet.members.map((m) => m.id)),
    service: new Set(fleet.services.map((s) => s.id)),
    // A client block refers to a site or to a data centre.
    site: new Set([...dataCentres, ...fleet.sites.map((s) => s.id)]),
  };
  function requireKnown(
    kind: keyof typeof known,
    id: string | undefined,
    path: PropertyKey[],
  ) {
    if (id !== undefined && !known[kind].has(id)) {
      report(path, `"${id}" is not a ${kind} of this configuration`);
    }
  }
  checkUnique(dataCentres, ["regions"], report);
  checkUnique(fleet.members.map((m) => m.id), ["members"], report);
  checkUnique(fleet.services.map((s) => s.id), ["services"], report);
  checkUnique(fleet.exceptions.map((e) => e.id), ["exceptions"], report);
  checkUnique(fleet.moves.map((m) => m.id), ["moves"], report);
  checkUniqueTargets(fleet.services, report);
  fleet.links.forEach((link, i) =>
    link.between.forEach((region, j) =>
      requireKnown("region", region, ["links", i, "between", j])
    )
  );
  fleet.services.forEach((service, i) => {
    service.members.forEach((m, j) =>
      requireKnown("member", m, ["services", i, "members", j])
    );
    service.targets.forEach((t, j) =>
      requireKnown("dataCentre", t.dataCentre, [
        "services",
        i,
        "targets",
        j,
        "dataCentre",
      ])
    );
  });
  fleet.sites.forEach((site, i) =>
    requireKnown("dataCentre", site.dataCentre, ["sites", i, "dataCentre"])
  );
  fleet.clientBlocks.forEach((block, i) =>
    requireKnown("site", block.site, ["clientBlocks", i, "site"])
  );
  fleet.exceptions.forEach((exception, i) => {
    const path = ["exceptions", i, "match"];
    requireKnown("member", exception.match.member, [...path, "member"]);
    requireKnown("service", exception.match.service, [...path, "service"]);
    requireKnown("dataCentre", exception.match.dataCentre, [
      ...path,
      "dataCentre",
    ]);
    if (Object.keys(exception.change).length === 0) {
      report(
        ["exceptions", i, "change"],
        "expected at least one field to change",
      );
    }
  });
  fleet.moves.forEach((move, i) => {
    const path = ["moves", i];
    requireKnown("service", move.service, [...path, "service"]);
    requireKnown("dataCentre", move.from, [...path, "from"]);
    requireKnown("dataCentre", move.to, [...path, "to"]);
    checkMove(move, path, report);
  });
  return problems;
}
