/** When a gateway's own traffic raises the suspicion that its links to the backend servers are lost. */
import t from 'tap';
import {ServerContacts} from '../../../src/controllers/reachability/index.js';

t.test('ServerContacts', t => {
  t.test('suspects lost links if several servers are silent and none is heard', t => {
    const contacts = new ServerContacts();
    contacts.addAttempt('s1', 0);
    contacts.addAttempt('s2', 100);
    t.notOk(contacts.isSuspicious(300), 'only one of them for long enough');
    t.ok(contacts.isSuspicious(350));
    t.end();
  });

  t.test('a server that is heard clears the others, which may be busy or paused', t => {
    const contacts = new ServerContacts();
    for (const id of ['s1', 's2', 's3']) contacts.addAttempt(id, 0);
    contacts.addSignOfLife('s3', 400);
    t.notOk(contacts.isSuspicious(600));
    t.ok(contacts.isSuspicious(700), 'until it is silent too');
    t.end();
  });

  t.test('a stream that falls silent counts from its last event', t => {
    const contacts = new ServerContacts();
    contacts.addAttempt('s1', 0);
    contacts.addAttempt('s2', 0);
    contacts.addSignOfLife('s1', 1_000);
    contacts.addSignOfLife('s2', 1_100);
    t.notOk(contacts.isSuspicious(1_300));
    t.ok(contacts.isSuspicious(1_350));
    t.end();
  });

  t.test('a single silent server is suspicious only after longer than most prompts take', t => {
    const contacts = new ServerContacts();
    contacts.addAttempt('s1', 0);
    t.notOk(contacts.isSuspicious(700));
    t.ok(contacts.isSuspicious(750));
    t.end();
  });

  t.test('a gateway without open attempts suspects nothing', t => {
    const contacts = new ServerContacts();
    contacts.addAttempt('s1', 0);
    contacts.addAttempt('s2', 0);
    contacts.addAttempt('s2', 10);
    for (const id of ['s1', 's2', 's2']) contacts.removeAttempt(id);
    t.notOk(contacts.isSuspicious(10_000));
    t.end();
  });

  t.test('several servers that refuse connections within a second are suspicious', t => {
    const contacts = new ServerContacts();
    contacts.addFailure('s1', 0);
    contacts.addFailure('s1', 500);
    t.notOk(contacts.isSuspicious(500), 'a single one may have stopped');
    contacts.addFailure('s2', 900);
    t.ok(contacts.isSuspicious(1_000));
    contacts.addSignOfLife('s2', 1_100);
    t.notOk(contacts.isSuspicious(1_100));
    contacts.addFailure('s2', 1_600);
    t.notOk(contacts.isSuspicious(1_700), 'the first failure is long past');
    t.end();
  });
  t.end();
});
