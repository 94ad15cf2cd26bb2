/**
 * Steps for the remote share: the share of a region's objects that other
 * regions serve.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { PeerShares } from "@bamboolane/steering/peer_shares";
import {
  initialRemoteShare,
  RemoteShare,
} from "@bamboolane/steering/remote_share";

let share: RemoteShare;

Given("a region with a sixth of the slots at full load", () => {
  share = new RemoteShare();
});

Then(
  "its remote share grows by at most {float} in any 2 seconds",
  (limit: number) => {
    const shares: number[] = [];
    for (let i = 0; i < 600; i++) {
      share.update(
        { inFlight: 9, slots: 6 },
        { inFlight: 3, slots: 30 },
        { nowMillis: i * 50, peerMeanShare: undefined, initialShare: 0 },
      );
      shares.push(share.share);
    }
    assert.ok(shares[shares.length - 1] > 0.5, `${shares.at(-1)}`);
    // 40 updates take 2 seconds.
    for (let i = 40; i < shares.length; i++) {
      assert.ok(shares[i] - shares[i - 40] <= limit + 1e-9);
    }
  },
);

const MODERATE_LOAD = { inFlight: 4, slots: 6 };
let initialShare = 0;

Given("a region with a third of the entries and a sixth of the slots", () => {
  initialShare = initialRemoteShare({ local: 4, all: 12 }, {
    local: 6,
    all: 36,
  });
});

When("its entries start together", () => {
  share = new RemoteShare();
  share.update(MODERATE_LOAD, MODERATE_LOAD, {
    nowMillis: 0,
    peerMeanShare: undefined,
    initialShare,
  });
});

Then("its remote share is 0.5 from the start", () => {
  assert.equal(share.share, 0.5);
  const even = initialRemoteShare({ local: 4, all: 12 }, {
    local: 12,
    all: 36,
  });
  assert.equal(
    even,
    0,
    "a region with enough slots keeps its objects",
  );
});

const shares: number[] = [];

When("requests arrive before the list of entries has been read", () => {
  share = new RemoteShare();
  shares.length = 0;
  for (const known of [undefined, undefined, initialShare]) {
    share.update(MODERATE_LOAD, MODERATE_LOAD, {
      nowMillis: 0,
      peerMeanShare: undefined,
      initialShare: known,
    });
    shares.push(share.share);
  }
});

Then(
  "the remote share is {int} until then and {float} once the list is known",
  (before: number, after: number) => {
    assert.deepEqual(shares, [before, before, after]);
  },
);

let peerShares: PeerShares;

Given(
  "entries of a region that report a remote share of {float}",
  (reported: number) => {
    peerShares = new PeerShares();
    for (const source of ["a", "b"]) {
      peerShares.setShares(source, new Map([["s", reported]]), 60_000);
    }
  },
);

When(
  "another entry starts with an estimated initial share of {float}",
  (ownInitialShare: number) => {
    share = new RemoteShare();
    initialShare = ownInitialShare;
    updateShare(0);
  },
);

function updateShare(nowMillis: number): void {
  // Only this entry measures a low load of its region.
  share.update({ inFlight: 1, slots: 6 }, MODERATE_LOAD, {
    nowMillis,
    peerMeanShare: peerShares.mean("s", nowMillis),
    initialShare,
  });
}

Then(
  "its remote share is {float} and stays within {float} of theirs while its own samples show low load",
  (reported: number, limit: number) => {
    assert.equal(share.share, reported);
    for (let nowMillis = 50; nowMillis < 20_000; nowMillis += 50) {
      updateShare(nowMillis);
      assert.ok(
        Math.abs(share.share - reported) <= limit + 1e-9,
        `${share.share}`,
      );
    }
    assert.equal(peerShares.mean("s", 60_000), undefined);
  },
);
