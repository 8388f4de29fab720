/** What callers get of gateways that lose their links to all backend servers, while everything else reaches them. */
import t, {type Test} from 'tap';
import {ServingFleet, type CallerResult, type SimulatedGateway} from '../support/ServingFleet.js';

type CutMode = 'silent' | 'refused';

/** Time in which a gateway has to find out that it is cut off, and to tell the others. */
const CONTACT_MS = 3_000;
const WARM_UP_MS = 3_000;
const OBSERVED_MS = 2_000;
/** Callers ask the directory as often. */
const DIRECTORY_TTL_MS = 1_000;
/** Some callers keep their addresses for this long. */
const KEPT_ADDRESSES_MS = 3 * DIRECTORY_TTL_MS;
const RETURN_MS = 3_000;
const REQUEST_INTERVAL_MS = 20;
/** Time from a request to its refusal if no server can be reached. */
const REFUSED_WITHIN_MS = 50;

/** Callers that look gateways up in the directory, and some that keep using the gateways that they know. */
class Callers {
  readonly atCut: CallerResult[] = [];
  readonly atOthers: CallerResult[] = [];
  private readonly fleet: ServingFleet;
  private readonly lookups: {readonly atMs: number; readonly addresses: ReadonlySet<string>}[] = [];

  constructor(fleet: ServingFleet) {
    this.fleet = fleet;
  }

  /** Sends a request to a gateway of the list of some time ago, and another one to any gateway. */
  step(): void {
    const {fleet} = this;
    const {nowMs, gateways, random} = fleet;
    if (nowMs % REQUEST_INTERVAL_MS !== 0) return;
    const asked = gateways[Math.floor(random() * gateways.length)];
    const domain = `domain-${Math.floor(random() * fleet.options.failureDomains)}`;
    const addresses = new Set(asked.gateway.getCallerAddresses(domain));
    this.lookups.push({atMs: nowMs, addresses});
    const ageMs = random() < 0.9 ? DIRECTORY_TTL_MS : KEPT_ADDRESSES_MS;
    const known = this.lookups.find(({atMs}) => atMs >= nowMs - ageMs) ?? {addresses};
    const listed = gateways.filter(({address}) => known.addresses.has(address));
    for (const candidates of [listed, gateways]) {
      this.send(candidates[Math.floor(random() * candidates.length)]);
    }
  }

  private send(gateway: SimulatedGateway | undefined): void {
    if (!gateway) return;
    const isCut = this.fleet.cutGatewayIds.has(gateway.id);
    (isCut ? this.atCut : this.atOthers).push(this.fleet.request(gateway, {}));
  }
}

function createFleet(gatewayCount: number): ServingFleet {
  return new ServingFleet({
    gatewayCount,
    serverCount: 13,
    failureDomains: 4,
    seed: gatewayCount,
    lossShare: 0.01,
    responseMs: 300,
  });
}

function getAnsweredShare(results: readonly CallerResult[]): number {
  const answered = results.filter(({outcome, status}) => outcome === 'answered' && status === 200);
  return answered.length / results.length;
}

/** Cuts some gateways off, and returns what callers got from the time on at which the others should know. */
async function cut(fleet: ServingFleet, cutGateways: readonly SimulatedGateway[], mode: CutMode) {
  const before = new Callers(fleet);
  await fleet.run(WARM_UP_MS, () => before.step());
  for (const {id} of cutGateways) fleet.cutGatewayIds.set(id, mode);
  await fleet.run(CONTACT_MS, () => before.step());
  const callers = new Callers(fleet);
  await fleet.run(OBSERVED_MS, () => callers.step());
  const isListed = cutGateways.map(({address}) =>
    fleet.gateways.some(({gateway}) => gateway.getCallerAddresses(undefined).includes(address)),
  );
  return {callers, listedCount: isListed.filter(Boolean).length};
}

async function checkServed(t: Test, fleet: ServingFleet, callers: Callers): Promise<void> {
  await fleet.finish();
  t.ok(callers.atCut.length > 0 && callers.atOthers.length > 0);
  t.equal(getAnsweredShare(callers.atCut), 1, 'at the gateways that are cut off');
  t.equal(getAnsweredShare(callers.atOthers), 1, 'at the others');
}

for (const gatewayCount of [7, 70]) {
  t.test(`${gatewayCount} gateways`, async t => {
    for (const mode of ['silent', 'refused'] as const) {
      t.test(`most of them are cut off, connections are ${mode}`, async t => {
        const fleet = createFleet(gatewayCount);
        const cutGateways = fleet.gateways.slice(0, Math.floor(gatewayCount * 0.6));
        const {callers, listedCount} = await cut(fleet, cutGateways, mode);
        t.equal(listedCount, 0, 'callers are sent elsewhere');
        await checkServed(t, fleet, callers);
        fleet.cutGatewayIds.clear();
        await fleet.run(RETURN_MS);
        const addresses = fleet.gateways.map(({gateway}) => gateway.getCallerAddresses('domain-0'));
        const lists = new Set(addresses.map(list => [...list].sort().join()));
        t.equal(lists.size, 1, 'all of them list the same gateways afterwards');
        t.ok(
          cutGateways.some(({address}) => addresses[0].includes(address)),
          'with some of those that were cut off',
        );
        fleet.abandonAll();
      });
    }

    t.test('a whole failure domain is cut off', async t => {
      const fleet = createFleet(gatewayCount);
      const cutGateways = fleet.gateways.filter((_, index) => index % 4 === 0);
      const {callers, listedCount} = await cut(fleet, cutGateways, 'silent');
      t.equal(listedCount, 0);
      await checkServed(t, fleet, callers);
      fleet.abandonAll();
    });

    t.test(
      'all of them are cut off: requests are refused at once, and served afterwards',
      async t => {
        const fleet = createFleet(gatewayCount);
        const {callers} = await cut(fleet, fleet.gateways, 'silent');
        await fleet.run(REFUSED_WITHIN_MS);
        for (const {outcome} of callers.atCut) {
          t.match(outcome, {kind: 'no-server', isNotRun: true});
        }
        fleet.cutGatewayIds.clear();
        await fleet.run(RETURN_MS);
        const afterwards = new Callers(fleet);
        await fleet.run(500, () => afterwards.step());
        await fleet.finish();
        t.equal(getAnsweredShare(afterwards.atOthers), 1);
        fleet.abandonAll();
      },
    );
  });
}

t.test('a loss of servers is not taken for a lost link', async t => {
  const fleet = createFleet(7);
  const callers = new Callers(fleet);
  await fleet.run(WARM_UP_MS, () => callers.step());
  const servers = [...fleet.servers.values()].filter(
    ({known}) => known.entry.failureDomain === 'domain-0',
  );
  for (const server of servers) fleet.crashServer(server);
  for (let step = 0; step < 20; step += 1) {
    await fleet.run(100, () => callers.step());
    t.equal(fleet.gateways.filter(({gateway}) => gateway.getGauges(0, 0).isCutOff).length, 0);
  }
  await fleet.finish();
  fleet.abandonAll();
});
