#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/table_version.h>

#include <map>
#include <set>
#include <vector>

namespace dandeliondock {

/// \brief A row that declares the evacuation of a data centre.
struct EvacuationRow
{
    DataCentreName dataCentre;
    TableVersion version;
};

/// \brief Evacuation rows that one read of the operator's table returned.
struct EvacuationChanges
{
    std::vector<EvacuationRow> declared;
    std::vector<DataCentreName> ended; ///< data centres whose rows were removed
    TableVersion asOfVersion;          ///< version of the table that the read covers
    bool isFull = false;               ///< rows that are not in declared do not exist
};

/// \brief The evacuated data centres, with the version of the row that declared each evacuation.
///
/// \remark Not thread-safe.
class Evacuations
{
public:
    /// \brief Applies the rows of one read. A read of an older version of the table than one applied before is ignored,
    /// so that neither a removal nor a declaration that arrives late takes effect.
    /// \return Whether the set of evacuated data centres changed.
    bool apply(const EvacuationChanges &changes);

    /// \brief Returns the evacuated data centres.
    [[nodiscard]] std::set<DataCentreName> dataCentres() const;

    /// \brief Returns the evacuated data centres with the versions of their rows.
    [[nodiscard]] const std::map<DataCentreName, TableVersion> &rows() const noexcept { return m_rows; }

private:
    std::map<DataCentreName, TableVersion> m_rows;
    TableVersion m_asOfVersion;
};

} // namespace dandeliondock
