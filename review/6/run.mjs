/** A VM takes long prompts for lost links and passes answers through another VM, which is killed. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Site, hasTrouble } from '../stand-ins/site.mjs';
import { SlowSite } from '../stand-ins/slowSite.mjs';

const RULE = 'MIXED';

await new Site(import.meta.url).run(async (site) => {
  const slowSite = new SlowSite(site, { events: 42, getPauseMs: () => 40 });
  await slowSite.start();
  const { asker, helper } = slowSite;
  // Each of the two model servers reads a prompt for more than a second.
  const long = slowSite.sendAll(asker, 'scan-review', 4);
  await sleep(1_100);
  const open = Promise.all([
    slowSite.sendAll(asker, 'fit-advice', 4),
    slowSite.sendAll(asker, 'deposit-book', 4),
  ]);
  await sleep(700);
  if (hasTrouble) helper.signal('SIGKILL');
  const results = [...(await long), ...(await open).flat()];
  const isBroken = slowSite.check(RULE, results);
  slowSite.close();
  return isBroken;
});
