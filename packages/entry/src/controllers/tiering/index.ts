/** Copies of prompt blocks at store VMs. */
export * from './importingRunner.js';
export * from './tieringController.js';
