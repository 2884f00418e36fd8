/**
 Sets the seed of all property tests of a process; `PROPERTY_SEED` names another one.
 */
import process from 'node:process';
import fc from 'fast-check';

const defaultSeed = 1;
fc.configureGlobal({...fc.readConfigureGlobal(), seed: Number(process.env.PROPERTY_SEED ?? defaultSeed)});
