import { describe } from '@baobabdeck/test-tools';
import { EMPTY_CONFIGURATION } from '@baobabdeck/types';
import { emptyFoldState } from '../../fold/fold-state.js';
import { planConfigurationChanges } from '../../plan-configuration.js';
import { restoreFleet, snapshotFleet } from '../index.js';

describe('a snapshot of a version without workspaces', ({ it }) => {
  it('is restored with none, so that changes can be planned', (t) => {
    const { fleet } = emptyFoldState();
    const { workspaces: _workspaces, ...configuration } = fleet.configuration;
    const text = snapshotFleet({ ...fleet, configuration: configuration as typeof fleet.configuration });
    const restored = restoreFleet(text);
    t.is(restored.configuration.workspaces.size, 0);
    t.deepEqual(planConfigurationChanges(restored.configuration, EMPTY_CONFIGURATION), []);
  });
});
