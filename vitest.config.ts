/** Tests stand beside what they test (`src/**`) or in test/ when they run whole processes. */

import { defineConfig } from 'vitest/config'

export default defineConfig({
  test: {
    include: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'standin/**/*.test.ts', 'test/**/*.test.ts', 'scenarios/**/*.test.ts', 'bench/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4
  }
})
