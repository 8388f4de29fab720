/** Tests of bookings, ledger and lost responses of the plain service stand-in. */
import t from 'tap';
import {request} from 'undici';
import {PlainService} from '../../../standins/index.js';

async function startService() {
  const service = new PlainService({
    address: '127.0.0.1',
    port: 0,
    identity: {
      instanceId: 'b1',
      service: 'booking',
      version: 'v1',
      failureDomain: 'a',
      machineClass: 'standard',
      market: 'reclaimable',
    },
    serviceTimeMs: 1,
    random: () => 0,
    onDown: () => undefined,
  });
  await service.start();
  return {service, url: `http://127.0.0.1:${service.getPort()}`};
}

t.test('PlainService', t => {
  t.test('creates and returns a booking, and records the run in the ledger', async t => {
    const {service, url} = await startService();
    t.teardown(() => service.stop());
    const headers = {'x-request-id': 'r1', 'x-attempt-id': 'r1.1'};
    const created = await request(`${url}/bookings`, {
      method: 'POST',
      headers,
      body: '{"place":1}',
    });
    const {bookingId} = (await created.body.json()) as {bookingId: string};
    const fetched = await request(`${url}/bookings/${bookingId}`);
    t.same([created.statusCode, fetched.statusCode], [201, 200]);
    t.match(await fetched.body.json(), {booking: '{"place":1}'});
    const [entry] = service.getLedger().getEntries();
    t.match(entry, {requestId: 'r1', attemptId: 'r1.1', body: '{"place":1}', end: 'finished'});
  });

  t.test('runs a call whose response is lost', async t => {
    const {service, url} = await startService();
    t.teardown(() => service.stop());
    const faults = await request(`${url}/standin/faults`, {
      method: 'PUT',
      body: '{"loseAnswersPercent": 100}',
    });
    await faults.body.dump();
    await t.rejects(request(`${url}/bookings`, {method: 'POST', body: '{}'}));
    t.equal(service.getLedger().getEntries()[0].end, 'finished');
  });
  t.end();
});
