#include <dandeliondock/places/evacuations.h>

#include <algorithm>

namespace dandeliondock {

bool Evacuations::apply(const EvacuationChanges &changes)
{
    if (changes.asOfVersion < m_asOfVersion)
        return false;
    m_asOfVersion = changes.asOfVersion;
    const std::set<DataCentreName> before = dataCentres();
    if (changes.isFull)
        m_rows.clear();
    for (const DataCentreName &dataCentre : changes.ended)
        m_rows.erase(dataCentre);
    for (const EvacuationRow &row : changes.declared) {
        TableVersion &version = m_rows[row.dataCentre];
        version = std::max(version, row.version);
    }
    return dataCentres() != before;
}

std::set<DataCentreName> Evacuations::dataCentres() const
{
    std::set<DataCentreName> dataCentres;
    for (const auto &[dataCentre, version] : m_rows)
        dataCentres.insert(dataCentre);
    return dataCentres;
}

} // namespace dandeliondock
