/** Demo: a small site with both users' workloads, a lost entry VM and a zone that leaves. */
import { formatErrors, formatTable, listBreaches } from './demo/report.js';
import { runDemo } from './demo/runDemo.js';
import { loadSiteSettings, Site } from './site/index.js';

const SITE_FILE = new URL('../playground/small/site.json', import.meta.url);

const print = (line: string): void => console.log(line);

const main = async (): Promise<boolean> => {
  const startedAtMs = Date.now();
  const site = new Site(loadSiteSettings(SITE_FILE));
  try {
    print('starting three entry VMs, six engines, two store VMs, one service and the platform');
    await site.start();
    const facts = await runDemo(site, print);
    const { judgement } = facts;
    const breaches = listBreaches(facts);
    print(`\n${formatTable(facts.stretches)}\n`);
    print(formatErrors(facts.stretches));
    print(
      `unrepeatable requests: ${judgement.calls} made, ${judgement.answered} answered, ` +
        `${judgement.unknown} ended as "may have run", ${judgement.ranTwice} run twice`,
    );
    print(`time: ${((Date.now() - startedAtMs) / 1000).toFixed(0)} s`);
    print(
      breaches.length === 0
        ? 'verdict: ok; all answers whole, no unrepeatable request run twice or lost'
        : `verdict: not ok; ${breaches.join('; ')}`,
    );
    return breaches.length === 0;
  } finally {
    await site.stop();
  }
};

process.exit((await main()) ? 0 : 1);
