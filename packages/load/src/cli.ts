/** Entry point of the goldcrest-load binary. */
import { runCli } from '@goldcrestscale/runtime';
import { createLoadProgram } from './program.js';

await runCli(createLoadProgram());
